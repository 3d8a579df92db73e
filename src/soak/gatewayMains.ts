/** Programs that the gateways run in turn instead of this build's, separated by commas. */
export const GATEWAY_MAINS = process.env.MASTICLINK_SOAK_GATEWAYS?.split(',');
