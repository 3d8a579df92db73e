import type { Section } from './FleetStore.js';
import type { Confirmation, SectionChange } from './FleetView.js';

/** Revisions that a follower knows each section up to, said once as it connects. */
export type KnownRevisions = Readonly<Partial<Record<Section, number>>>;

/** What a VM that watches the store tells those that follow it. */
export type FeedMessage =
  /** Changes, or a section as a whole. */
  | ({ readonly kind: 'change' } & SectionChange<Section>)
  /** Which confirmation by the store the sender goes by, and how old its word is, in milliseconds. */
  | ({ readonly kind: 'age'; readonly ageMs: number } & Confirmation);

/** Longest line that is taken, in characters; a whole section of the largest fleet fits well. */
const MOST_LINE = 16 * 1024 * 1024;

/**
 * Writes a message as one line.
 * @param message - The message.
 */
export function writeFeedMessage(message: FeedMessage | KnownRevisions): string {
  return `${JSON.stringify(message)}\n`;
}

/** Puts messages together from pieces of a stream. */
export class FeedReader<M> {
  /** @internal */
  private rest = '';

  /**
   * Takes a piece; throws if the stream is not one of messages.
   * @param text - What came.
   * @returns Messages that are whole now.
   */
  read(text: string): M[] {
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    if (this.rest.length > MOST_LINE) throw new RangeError('a line of the feed is too long');
    return lines.map((line) => JSON.parse(line) as M);
  }
}
