export { getAddresses } from './getAddresses.js';
export type { AddressAnswer, AddressQuery } from './getAddresses.js';
