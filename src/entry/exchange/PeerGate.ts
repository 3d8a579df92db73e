import { status } from '@grpc/grpc-js';

import type { CoreEvent, EntryState, EntryVmId } from '../../core/index.js';
import { getServiceSpare } from '../../core/index.js';
import type { IncomingPeerCall, ForwardHead } from '../../peers/index.js';
import { checkForwardFrame } from '../../peers/index.js';
import type { Clock } from '../../timing/index.js';
import type { Exchanges } from './Exchanges.js';
import { FrameBody } from './FrameBody.js';
import { PeerExchange } from './PeerExchange.js';
import type { BodyBounds } from './RequestBody.js';
import { RequestBody } from './RequestBody.js';

/** What the gate works with. */
export interface PeerGateParts {
  /** Read only. */
  readonly state: EntryState;
  readonly clock: Clock;
  readonly bounds: BodyBounds;
  readonly exchanges: Exchanges;
  readonly dispatch: (event: CoreEvent) => void;
}

function refuse(call: IncomingPeerCall, details: string): void {
  call.emit('error', { code: status.INVALID_ARGUMENT, details });
}

/** Takes requests that other entry VMs forward and announces them to the core. */
export class PeerGate {
  /** @param parts - What the gate works with. */
  constructor(private readonly parts: PeerGateParts) {}

  /**
   * Takes a forwarded request.
   * @param from - The member that forwards.
   * @param call - Its frames.
   */
  accept(from: EntryVmId, call: IncomingPeerCall): void {
    let body: FrameBody | undefined;
    let isBodyWhole = false;
    let hasHead = false;
    call.on('data', (value: unknown) => {
      const frame = checkForwardFrame(value);
      if (frame === undefined || (frame.kind === 'head') === hasHead) {
        refuse(call, 'a frame of a forwarded request does not have the shape of one');
        return;
      }
      if (frame.kind === 'head') {
        hasHead = true;
        isBodyWhole = frame.body != null;
        body = isBodyWhole ? undefined : new FrameBody(call);
        this.announce(from, call, frame, body);
      } else if (frame.kind === 'body') body?.takeBytes(frame.data);
      else {
        isBodyWhole = true;
        body?.finish();
      }
    });
    call.on('end', () => {
      // A stream that ends without its end frame was broken off: the body is not whole.
      if (!isBodyWhole) body?.destroy(new Error('the forwarded request body was broken off'));
    });
    call.on('error', () => body?.destroy());
  }

  /** @internal */
  private announce(
    from: EntryVmId,
    call: IncomingPeerCall,
    head: ForwardHead,
    stream: FrameBody | undefined,
  ): void {
    const { clock, bounds, exchanges, dispatch, state } = this.parts;
    const now = clock.now();
    const body =
      stream === undefined
        ? RequestBody.fromWhole(Buffer.from(head.body ?? []), bounds)
        : new RequestBody(stream, bounds, head.contentLength ?? undefined);
    const id = exchanges.takeId();
    const getSpare = () => getServiceSpare(state, head.service);
    const exchange = new PeerExchange({ id, head, body, call, getSpare });
    let isAnnounced = false;
    call.on('cancelled', () => {
      exchanges.remove(id);
      stream?.destroy();
      if (isAnnounced && !exchange.isDone) dispatch({ kind: 'requestCancelled', request: id });
      exchange.isDone = true;
    });
    call.on('finish', () => exchanges.remove(id));
    body.collect(false, () => {
      if (exchange.isDone) return;
      isAnnounced = true;
      exchanges.add(exchange);
      dispatch({
        kind: 'requestArrived',
        request: id,
        service: head.service,
        caller: head.caller,
        method: head.method,
        fingerprint: head.fingerprint,
        key: head.key ?? undefined,
        deadlineAt: now + head.remainingMs,
        forwardedBy: from,
      });
    });
  }
}
