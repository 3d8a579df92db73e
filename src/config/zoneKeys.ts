import { required, withDefault } from './keyTable.js';
import { choice, NAME } from './valueTypes.js';

/** Prefix of the section names of `zones.ini`; each availability zone has one section. */
export const ZONE_PREFIX = 'zone.';

/** Keys of each section `[zone.NAME]` of `zones.ini`. */
export const ZONE_KEYS = {
  region: required(NAME, 'Region that the availability zone is in.'),
  state: withDefault(
    choice(['in', 'out']),
    'in',
    'Whether the availability zone takes work; edit and publish to change it.',
  ),
} as const;
