/** Version of the program, as in `package.json`. */
export const VERSION = '0.1.0';
