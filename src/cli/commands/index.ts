import type { Command } from '../Command.js';

import { benchCommand } from './benchCommand.js';
import { burnCommand } from './burnCommand.js';
import { checkCommand } from './checkCommand.js';
import { demoCommand } from './demoCommand.js';
import { entryCommand } from './entryCommand.js';
import { explainCommand } from './explainCommand.js';
import { gatewayCommand } from './gatewayCommand.js';
import { publishCommand } from './publishCommand.js';
import { standInCommand } from './standInCommand.js';
import { statusCommand } from './statusCommand.js';

/** All commands of the program, in the order of the help. */
export const COMMANDS: readonly Command[] = [
  entryCommand,
  gatewayCommand,
  checkCommand,
  publishCommand,
  statusCommand,
  burnCommand,
  explainCommand,
  demoCommand,
  benchCommand,
  standInCommand,
];
