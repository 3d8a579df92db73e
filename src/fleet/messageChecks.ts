/** Checks of what other VMs send in datagrams; each throws `TypeError`. */

/**
 * Checks that a value is text.
 * @param value - The value.
 * @param name - What it is, for the message.
 */
export function checkText(value: unknown, name: string): void {
  if (typeof value !== 'string') throw new TypeError(`${name} is not text`);
}

/**
 * Checks that a value is a finite number that is not negative.
 * @param value - The value.
 * @param name - What it is, for the message.
 */
export function checkAmount(value: unknown, name: string): void {
  const isAmount = typeof value === 'number' && Number.isFinite(value) && value >= 0;
  if (!isAmount) throw new TypeError(`${name} is not a finite number of at least 0`);
}
