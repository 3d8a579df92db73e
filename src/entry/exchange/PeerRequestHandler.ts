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

/** Dependencies of the peer request handler. */
export interface PeerRequestHandlerParts {
  /** Read-only. */
  readonly state: EntryState;
  readonly clock: Clock;
  readonly bounds: BodyBounds;
  readonly exchanges: Exchanges;
  readonly dispatch: (event: CoreEvent) => void;
}

function refuseCall(call: IncomingPeerCall, details: string): void {
  call.emit('error', { code: status.INVALID_ARGUMENT, details });
}

/** Accepts requests forwarded by other entry VMs and dispatches their arrival to the core. */
export class PeerRequestHandler {
  /** @param parts - Dependencies. */
  constructor(private readonly parts: PeerRequestHandlerParts) {}

  /**
   * Accepts a forwarded request.
   * @param from - The member that forwards the request.
   * @param call - The call that delivers the request's frames.
   */
  accept(from: EntryVmId, call: IncomingPeerCall): void {
    let body: FrameBody | undefined;
    let isBodyWhole = false;
    let hasHead = false;
    call.on('data', (value: unknown) => {
      const frame = checkForwardFrame(value);
      if (frame === undefined || (frame.kind === 'head') === hasHead) {
        refuseCall(call, 'a frame of a forwarded request does not have the shape of one');
        return;
      }
      if (frame.kind === 'head') {
        hasHead = true;
        isBodyWhole = frame.body != null;
        body = isBodyWhole ? undefined : new FrameBody(call);
        this.dispatchArrival(from, call, frame, body);
      } else if (frame.kind === 'body') body?.pushBytes(frame.data);
      else {
        isBodyWhole = true;
        body?.finish();
      }
    });
    call.on('end', () => {
      // A stream that ends without an end frame was aborted: the body is incomplete.
      if (!isBodyWhole) body?.destroy(new Error('the forwarded request body is incomplete'));
    });
    call.on('error', () => body?.destroy());
  }

  /** @internal */
  private dispatchArrival(
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
    const id = exchanges.createId();
    const getSpare = () => getServiceSpare(state, head.service);
    const exchange = new PeerExchange({ id, head, body, call, getSpare });
    let hasDispatched = false;
    call.on('cancelled', () => {
      exchanges.remove(id);
      stream?.destroy();
      if (hasDispatched && !exchange.isDone) dispatch({ kind: 'requestCancelled', request: id });
      exchange.isDone = true;
    });
    call.on('finish', () => exchanges.remove(id));
    body.collect(false, () => {
      if (exchange.isDone) return;
      hasDispatched = true;
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
