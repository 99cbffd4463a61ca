import { setImmediate as yieldTurn } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { createLogger, errorMessage } from '@hazellift/common'
import { Outbox } from '@hazellift/coordination'
import type { HandedOnJobs, HandOnLink, HandOnPeer, HostedJobs, OriginPeer } from '@hazellift/coordination'
import type { EntryLocation } from '@hazellift/decisions'
import { CallerFrameSchema, HandOnHelloSchema, HandOnService, HostFrameSchema } from '@hazellift/protocol'
import type { CallerFrame, HostFrame } from '@hazellift/protocol'

const log = createLogger('entry:hand-on')

/** What a stream to a neighbour needs. */
export interface DialHandOnOptions {
  jobs: Pick<HandedOnJobs, 'open' | 'closed' | 'onFrame' | 'stamp'>
  entryId: string
  zone: string
  /** Ends the stream. */
  signal: AbortSignal
}

/**
 * Holds a stream on which this entry hands work to a neighbour, until it ends.
 *
 * @param neighbour - where it is
 * @param options - what a stream needs
 */
export const dialHandOn = async ({ address, zone }: EntryLocation, { jobs, entryId, zone: ownZone, signal }: DialHandOnOptions): Promise<void> => {
  const outbox = new Outbox<CallerFrame>(() => create(CallerFrameSchema), () => yieldTurn())
  outbox.add((frame) => { frame.hello = create(HandOnHelloSchema, { entryId, zone: ownZone }) })
  const over = new AbortController()
  const end = (): void => over.abort()
  signal.addEventListener('abort', end, { signal: over.signal })
  if (signal.aborted) end()
  const link: HandOnLink<CallerFrame> = { add: (add) => outbox.add(add), close: end }
  let peer: HandOnPeer | undefined
  const stamped = async function * (): AsyncGenerator<CallerFrame> {
    for await (const frame of outbox) {
      if (peer !== undefined) jobs.fillFrame(peer, frame)
      yield frame
    }
  }
  const transport = createConnectTransport({ baseUrl: `http://${address}`, httpVersion: '2', acceptCompression: [] })
  try {
    for await (const frame of createClient(HandOnService, transport).open(stamped(), { signal: over.signal })) {
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
    if (peer !== undefined) jobs.closed(peer)
  }
}

/** The other side: entries that hand work to this one, one task a stream. */
class HandOnServer {
  constructor (private readonly jobs: Pick<HostedJobs, 'open' | 'closed' | 'onFrame' | 'stamp'>) {}

  readonly service: ServiceImpl<typeof HandOnService> = { open: (frames, context) => this.open(frames, context) }

  private async * open (frames: AsyncIterable<CallerFrame>, context: HandlerContext): AsyncGenerator<HostFrame> {
    const outbox = new Outbox<HostFrame>(() => create(HostFrameSchema), () => yieldTurn())
    const link: HandOnLink<HostFrame> = { add: (add) => outbox.add(add), close: () => outbox.close() }
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
 * Takes streams of entries that hand work on.
 *
 * @param jobs - what runs their jobs
 */
export const createHandOnService = (jobs: Pick<HostedJobs, 'open' | 'closed' | 'onFrame' | 'stamp'>): ServiceImpl<typeof HandOnService> => new HandOnServer(jobs).service
