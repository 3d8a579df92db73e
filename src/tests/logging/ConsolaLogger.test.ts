import test from 'ava';

import type { ConsolaLoggerOptions } from '../../logging/index.js';
import { ConsolaLogger } from '../../logging/index.js';

function writeSampleLines(options: Partial<ConsolaLoggerOptions>, isTTY: boolean): string[] {
  const lines: string[] = [];
  const stream = { isTTY, write: (text: string) => lines.push(text) };
  const logger = new ConsolaLogger({ level: 'info', format: 'auto', ...options, stream });
  logger.debug('fleet', 'not shown');
  logger.info('fleet', 'epoch 3 begins');
  logger.warn('store', 'no answer for 2 s');
  logger.warn('store', 'no answer for 2 s');
  logger.error('entry', 'cannot listen');
  return lines.map((line) =>
    line.replace(/\d\d:\d\d:\d\d\.\d+/, 'TIME').replace(/\d{4}-\d\d-\d\d/, 'DAY'),
  );
}

test('lines are text on a terminal and JSON elsewhere', (t) => {
  t.snapshot(writeSampleLines({}, true));
  t.snapshot(writeSampleLines({ source: 'vm1#1' }, false));
  t.deepEqual(writeSampleLines({ format: 'text', level: 'error' }, false), [
    'TIME entry    ERROR: cannot listen\n',
  ]);
});
