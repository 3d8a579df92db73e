export { VmListError } from './errors.js';
export { VmListClient } from './VmListClient.js';
