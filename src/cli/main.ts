#!/usr/bin/env node
import { createProcessIo } from './CommandIo.js';
import { runCommandLine } from './runCommandLine.js';

/**
 * Exits once all output is written. A command that failed may leave a server or connection open, which
 * would otherwise keep the process running.
 */
function exitAfterFlush(code: number): void {
  process.exitCode = code;
  process.stdout.write('', () => process.stderr.write('', () => process.exit()));
}

runCommandLine(process.argv.slice(2), createProcessIo()).then(exitAfterFlush);
