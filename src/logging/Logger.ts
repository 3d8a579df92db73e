/** Log for messages of the parts of a process. */
export interface Logger {
  /**
   * Logs details for developers who investigate a problem.
   * @param part - Part of the process that logs; the prefix of the line.
   * @param text - The message, a short sentence.
   */
  debug(part: string, text: string): void;
  /**
   * Logs an event that operators want to know about.
   * @param part - Part of the process that logs; the prefix of the line.
   * @param text - The message, a short sentence.
   */
  info(part: string, text: string): void;
  /**
   * Logs a problem that the process can handle itself.
   * @param part - Part of the process that logs; the prefix of the line.
   * @param text - The message, a short sentence.
   */
  warn(part: string, text: string): void;
  /**
   * Logs a problem that needs the attention of an operator.
   * @param part - Part of the process that logs; the prefix of the line.
   * @param text - The message, a short sentence.
   */
  error(part: string, text: string): void;
}
