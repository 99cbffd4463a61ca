import { setImmediate as yieldTurn } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import { createLogger, errorMessage } from '@hazellift/common'
import { Outbox } from '@hazellift/coordination'
import type { HandedOnJobs, HandOnLink, HandOnPeer, HostedJobs, OriginPeer } from '@hazellift/coordination'
import type { EntryLocation } from '@hazellift/decisions'
import { CallerFrameSchema, HandOnHelloSchema, HandOnService, HostFrameSchema } from '@hazellift/protocol'
import type { CallerFrame, HostFrame } from '@hazellift/protocol'
import { openConnection } from './openConnection.js'

const log = createLogger('entry:hand-on')

/** Dependencies of a stream to a neighbour. */
export interface DialHandOnOptions {
  /** Handles what the neighbour sends. */
  jobs: Pick<HandedOnJobs, 'open' | 'closed' | 'onFrame' | 'fillFrame'>
  /** This entry, as it introduces itself. */
  entryId: string
  zone: string
  /** Ends the stream. */
  signal: AbortSignal
}

/**
 * Runs a stream on which this entry hands jobs on (forwards them to a neighbour); resolves when it has ended.
 *
 * @param neighbour - address and zone of the other entry
 * @param options - dependencies of the stream
 */
export const dialHandOn = async ({ address, zone }: EntryLocation, { jobs, entryId, zone: ownZone, signal }: DialHandOnOptions): Promise<void> => {
  const outbox = new Outbox<CallerFrame>(() => create(CallerFrameSchema), () => yieldTurn())
  outbox.add((frame) => { frame.hello = create(HandOnHelloSchema, { entryId, zone: ownZone }) })
  const ending = new AbortController()
  const end = (): void => ending.abort()
  signal.addEventListener('abort', end, { signal: ending.signal })
  if (signal.aborted) end()
  const link: HandOnLink<CallerFrame> = { add: (change) => outbox.add(change), close: end }
  let peer: HandOnPeer | undefined
  const filledFrames = async function * (): AsyncGenerator<CallerFrame> {
    for await (const frame of outbox) {
      if (peer !== undefined) jobs.fillFrame(peer, frame)
      yield frame
    }
  }
  const connection = openConnection(address)
  try {
    for await (const frame of createClient(HandOnService, connection.transport).open(filledFrames(), { signal: ending.signal })) {
      if (peer === undefined) {
        peer = jobs.open(address, zone, link)
        log('stream_open', { address })
      }
      jobs.onFrame(peer, frame)
    }
  } catch (err) {
    log('stream_ended', { address, error: errorMessage(err) })
  } finally {
    end()
    outbox.close()
    connection.close()
    if (peer !== undefined) jobs.closed(peer)
  }
}

/** Serves the streams of entries that hand jobs on to this one, each by one call of `open`. */
class HandOnServer {
  constructor (private readonly jobs: Pick<HostedJobs, 'open' | 'closed' | 'onFrame' | 'fillFrame'>) {}

  readonly service: ServiceImpl<typeof HandOnService> = { open: (frames, context) => this.open(frames, context) }

  private async * open (frames: AsyncIterable<CallerFrame>, context: HandlerContext): AsyncGenerator<HostFrame> {
    const outbox = new Outbox<HostFrame>(() => create(HostFrameSchema), () => yieldTurn())
    const link: HandOnLink<HostFrame> = { add: (change) => outbox.add(change), close: () => outbox.close() }
    const opened: { peer: OriginPeer | undefined } = { peer: undefined }
    context.signal.addEventListener('abort', link.close)
    void this.read(frames, link, opened)
    try {
      for await (const frame of outbox) {
        if (opened.peer !== undefined) this.jobs.fillFrame(opened.peer, frame)
        yield frame
      }
    } finally {
      if (opened.peer !== undefined) this.jobs.closed(opened.peer)
    }
  }

  private async read (frames: AsyncIterable<CallerFrame>, link: HandOnLink<HostFrame>, opened: { peer: OriginPeer | undefined }): Promise<void> {
    try {
      for await (const frame of frames) {
        if (frame.hello !== undefined) opened.peer ??= this.jobs.open(frame.hello, link)
        if (opened.peer !== undefined) this.jobs.onFrame(opened.peer, frame)
      }
    } catch (err) {
      log('stream_broken', { entry: opened.peer?.entryId, error: errorMessage(err) })
    } finally {
      link.close()
    }
  }
}

/**
 * Creates the service that accepts streams of entries that hand jobs on to this one.
 *
 * @param jobs - runs their jobs
 */
export const createHandOnService = (jobs: Pick<HostedJobs, 'open' | 'closed' | 'onFrame' | 'fillFrame'>): ServiceImpl<typeof HandOnService> => new HandOnServer(jobs).service
