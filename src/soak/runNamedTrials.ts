/**
 * Runs the trials that the command line names, or all of them, prints a line for each, and ends the
 * process, with 1 if one has failed.
 * @param trials - Options of the trials, by name.
 * @param runTrial - Runs one trial.
 * @param hasPassed - Whether a trial with this result has passed; all have by default.
 */
export async function runNamedTrials<T, R>(
  trials: Readonly<Record<string, T>>,
  runTrial: (options: T) => Promise<R>,
  hasPassed: (result: R) => boolean = () => true,
): Promise<void> {
  const named = process.argv.slice(2);
  const unknown = named.find((name) => trials[name] === undefined);
  if (unknown !== undefined) {
    const known = Object.keys(trials).join(', ');
    process.stderr.write(`no trial ${unknown}; there are ${known}\n`);
    process.exit(2);
  }
  let hasFailed = false;
  for (const name of named.length > 0 ? named : Object.keys(trials)) {
    const result = await runTrial(trials[name]);
    process.stdout.write(`${name} ${JSON.stringify(result)}\n`);
    if (!hasPassed(result)) hasFailed = true;
  }
  process.exit(hasFailed ? 1 : 0);
}
