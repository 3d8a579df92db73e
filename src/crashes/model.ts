/** One run of a target. A target that restarts under the same id is another run. */
export interface TargetRun {
  /** Id of the target. */
  readonly target: string;
  /** Start of the run in Unix milliseconds; 0 if unknown. */
  readonly bornAt: number;
}

/** What one entry VM observed of a run, and how long ago, in milliseconds. */
export interface TargetObservation extends TargetRun {
  readonly ageMs: number;
}

/** What is known of a request that was running on targets when they crashed. */
export interface SuspectReport {
  readonly fingerprint: string;
  readonly crashes: readonly TargetObservation[];
  /** Time since a target last answered the request, in milliseconds; undefined if none did. */
  readonly answeredAgeMs: number | undefined;
}

/** What entry VMs tell each other about crashes. */
export interface CrashNews {
  readonly suspects: readonly SuspectReport[];
  /** Runs that answered, so that they had not crashed before. */
  readonly alive: readonly TargetObservation[];
}

/**
 * How a copy of a request is handled: as any other, with restrictions since targets crashed under
 * it, as the one copy that may show whether it still crashes them, or not at all.
 */
export type SuspectVerdict = 'clear' | 'suspected' | 'trial' | 'refused';

/**
 * Key that identifies a run of a target.
 * @param run - The run.
 */
export function getRunKey({ target, bornAt }: TargetRun): string {
  return `${target}|${bornAt}`;
}
