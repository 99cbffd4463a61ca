import { setImmediate as yieldTurn, setTimeout as delay } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import type { Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { createLogger, errorMessage } from '@hazellift/common'
import { Outbox } from '@hazellift/coordination'
import type { AddToFrame, SessionHost } from '@hazellift/coordination'
import { AgentFrameSchema, CLUSTER_TOKEN_HEADER, HelloSchema, SessionService } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import type { DialHandle } from './entryDialer.js'
import type { KeepAliveMonitor, SessionWatch } from './keepAliveMonitor.js'

/** What an agent's sessions need. */
export interface DialOptions {
  host: SessionHost
  agentId: string
  incarnation: string
  zone: string
  clusterToken: string
  /** Looks after all sessions of the process. */
  keepAliveMonitor: KeepAliveMonitor
}

/** The entry at the other end; its incarnation is empty until it said welcome. */
interface Peer {
  incarnation: string
}

const log = createLogger('agent:session')

const addToken = (clusterToken: string): Interceptor => (next) => (req) => {
  req.header.set(CLUSTER_TOKEN_HEADER, clusterToken)
  return next(req)
}

/** A session that is no longer wanted is looked at this often, whether anything of the entry is left here. */
const RETIRE_CHECK_MS = 250

const openOutbox = ({ agentId, incarnation, zone }: DialOptions): Outbox<AgentFrame> => {
  const outbox = new Outbox<AgentFrame>(() => create(AgentFrameSchema), () => yieldTurn())
  outbox.add((frame) => { frame.hello = create(HelloSchema, { agentId, incarnation, zone }) })
  return outbox
}

/** Fills in each frame's stamp as it leaves, so that the stamp is fresh. */
async function * filledFrames (host: SessionHost, outbox: Outbox<AgentFrame>, peer: Peer, watched: SessionWatch): AsyncGenerator<AgentFrame> {
  for await (const frame of outbox) {
    host.fillFrame(peer.incarnation, frame)
    watched.onSent()
    yield frame
  }
}

/** Ends a session that is no longer wanted: the entry sends no start any more, and what is here of it ends first. */
const retire = async (host: SessionHost, peer: Peer, add: AddToFrame, over: AbortController): Promise<void> => {
  if (peer.incarnation !== '') host.retireSession?.(peer.incarnation, add)
  do await delay(RETIRE_CHECK_MS)
  while (!over.signal.aborted && host.isBusyWith?.(peer.incarnation) === true)
  over.abort()
}

const openStream = (address: string, options: DialOptions, frames: AsyncIterable<AgentFrame>, signal: AbortSignal): AsyncIterable<EntryFrame> => {
  const transport = createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '2',
    // Compressing the larger frames took 8% of an entry's processor time and 4% of an agent's, by a profile under load.
    acceptCompression: [],
    interceptors: [addToken(options.clusterToken)]
  })
  return createClient(SessionService, transport).open(frames, { signal })
}

/**
 * Holds one session with an entry until it ends, for whatever reason.
 *
 * @param address - the entry's session address
 * @param options - what a session needs
 * @param handle - how the dialer steers it, and hears of it
 */
export const dialEntry = async (address: string, options: DialOptions, handle: DialHandle): Promise<void> => {
  const { host, keepAliveMonitor: pulse } = options
  const outbox = openOutbox(options)
  const add: AddToFrame = (change) => outbox.add(change)
  const over = new AbortController()
  const { signal } = over
  const peer: Peer = { incarnation: '' }
  const watched = pulse.watch({
    // Until the entry has said welcome, its silence must be noticed soon.
    isBusy: () => peer.incarnation === '' || host.isBusyWith?.(peer.incarnation) !== false,
    sendKeepAlive: () => outbox.add(() => {}),
    onTimeout: () => over.abort()
  })
  handle.signal.addEventListener('abort', () => over.abort(), { signal })
  if (handle.signal.aborted) over.abort()
  handle.retired.addEventListener('abort', () => { void retire(host, peer, add, over) }, { signal })
  try {
    for await (const frame of openStream(address, options, filledFrames(host, outbox, peer, watched), signal)) {
      watched.onReceived()
      if (frame.welcome !== undefined) {
        peer.incarnation = frame.welcome.incarnation
        log('session_open', { address, entry: frame.welcome.entryId })
        host.openSession(peer.incarnation, add)
        handle.onOpen()
      }
      if (frame.entries !== undefined) handle.onEntries(frame.entries.entries)
      if (peer.incarnation !== '') host.onFrame(peer.incarnation, add, frame)
    }
  } catch (err) {
    log('session_ended', { address, error: errorMessage(err) })
  } finally {
    watched.stop()
    over.abort()
    outbox.close()
    if (peer.incarnation !== '') host.closeSession(peer.incarnation, add)
  }
}
