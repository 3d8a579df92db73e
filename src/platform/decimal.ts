/** A number in decimal notation, without sign and exponent. */
export const DECIMAL_PATTERN = /^\d+(?:\.\d+)?$/;
