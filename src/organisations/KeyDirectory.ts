import type { Organisation } from '../balancing/model.js';

function isSameList(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((value, i) => value === b[i]);
}

function isSameOrganisation(a: Organisation, b: Organisation): boolean {
  return (
    a.name === b.name &&
    a.priority === b.priority &&
    a.quota?.ratePerSecond === b.quota?.ratePerSecond &&
    a.quota?.burst === b.quota?.burst &&
    isSameList(a.keyDigests, b.keyDigests)
  );
}

function areSame(a: readonly Organisation[], b: readonly Organisation[]): boolean {
  return a === b || (a.length === b.length && a.every((each, i) => isSameOrganisation(each, b[i])));
}

/** The organisations of a configuration, by the digests of their API keys. */
export class KeyDirectory {
  /** @internal */
  private readonly byDigest = new Map<string, Organisation>();

  /** @internal */
  private readonly byName = new Map<string, Organisation>();

  /** @param organisations - The organisations; undefined if callers need no keys. */
  constructor(private readonly organisations?: readonly Organisation[]) {
    for (const organisation of organisations ?? []) {
      this.byName.set(organisation.name, organisation);
      for (const digest of organisation.keyDigests) this.byDigest.set(digest, organisation);
    }
  }

  /** Whether callers need an API key unless their route is exempt. */
  get isRequired(): boolean {
    return this.byName.size > 0;
  }

  /** Names of all organisations. */
  get names(): IterableIterator<string> {
    return this.byName.keys();
  }

  /**
   * Finds the organisation that a key belongs to.
   * @param digest - Digest of the key.
   */
  find(digest: string): Organisation | undefined {
    return this.byDigest.get(digest);
  }

  /**
   * Returns the organisation of a name.
   * @param name - The name.
   */
  getByName(name: string): Organisation | undefined {
    return this.byName.get(name);
  }

  /**
   * Returns the directory of a newer configuration. It is this one if no organisation has changed, so
   * that a long list isn't indexed again for each change of a route.
   * @param organisations - Organisations of the newer configuration.
   */
  update(organisations: readonly Organisation[] | undefined): KeyDirectory {
    const isSame = areSame(this.organisations ?? [], organisations ?? []);
    return isSame ? this : new KeyDirectory(organisations);
  }
}
