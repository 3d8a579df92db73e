/**
 * Runs the trials that the command line names, or all of them, prints a line for each, and ends the
 * process.
 * @param trials - Options of the trials, by name.
 * @param runTrial - Runs one trial.
 */
export async function runNamedTrials<T>(
  trials: Readonly<Record<string, T>>,
  runTrial: (options: T) => Promise<unknown>,
): Promise<void> {
  const named = process.argv.slice(2);
  const unknown = named.find((name) => trials[name] === undefined);
  if (unknown !== undefined) {
    const known = Object.keys(trials).join(', ');
    process.stderr.write(`no trial ${unknown}; there are ${known}\n`);
    process.exit(2);
  }
  for (const name of named.length > 0 ? named : Object.keys(trials)) {
    process.stdout.write(`${name} ${JSON.stringify(await runTrial(trials[name]))}\n`);
  }
  process.exit(0);
}
