export { startStoreServer } from './startStoreServer.js';
export type { StoreServer, StoreServerOptions } from './startStoreServer.js';
export { startTargetServer } from './startTargetServer.js';
export type { TargetServer, TargetServerOptions } from './startTargetServer.js';
export { startVmListServer } from './startVmListServer.js';
export type { VmListServer, VmListServerOptions } from './startVmListServer.js';
