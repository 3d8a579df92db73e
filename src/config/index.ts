export type { EntrySettings, ListenAddress, LogSettings, RequestBounds } from './EntrySettings.js';
