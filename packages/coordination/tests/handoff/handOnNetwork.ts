import { create } from '@bufbuild/protobuf'
import type { OriginView, HandOnLimits } from '@hazellift/decisions'
import { CallerFrameSchema, HandOnHelloSchema, HostFrameSchema } from '@hazellift/protocol'
import { HandedOnJobs, HostedJobs, LeasedJobs, longestWait } from '../../src/index.js'
import type { HandOnLink } from '../../src/index.js'
import { LeasedNetwork, LEASE_TIMES } from '../leased/leasedNetwork.js'

const STEP_MS = 5
const SWEEP_MS = 25
const ZONE = 'z'
/** So much that an entry's share of it is more than the jobs of these tests need. */
const CAPACITY = { cpuMilli: 16_000, memoryMb: 16_000 }

/** The components of an entry that hand jobs on and host them. */
export interface HandOnEntry {
  router: HandedOnJobs
  host: HostedJobs
  /** True while the entry's process is paused; its clock counts the pause. */
  isFrozen: boolean
  isStopping: boolean
  lagMs: number
}

/** A stream from one entry to another; frames are delayed in each direction that is cut. */
interface Stream {
  isCut: { toHost: boolean, toCaller: boolean }
  delayed: { toHost: Array<() => void>, toCaller: Array<() => void> }
  /** Drops one side, as if its process had died; the other side is notified unless that direction is cut. */
  drop: (side: 'host' | 'caller') => void
  /** Ends both sides at once; frames in transit are lost. */
  reset: () => void
  isClosed: () => boolean
}

/** Simulates entries and agents on a fake clock, with a stream on which entry 0 hands jobs on to entry 1. */
export class HandOnNetwork {
  readonly leased: LeasedNetwork
  readonly entries: HandOnEntry[] = []
  readonly counts = { handedOn: 0, hosted: 0, refused: 0, originEntryLost: 0, peerLost: 0, returned: [] as string[] }
  limits: HandOnLimits = { maxOutstanding: 100, maxShare: 1.1 }
  private stream: Stream | undefined
  private elapsedMs = 0
  private mayDial = true

  constructor (private readonly entryCount: number, private readonly agentCount: number) {
    this.leased = new LeasedNetwork(entryCount, agentCount, LEASE_TIMES, CAPACITY)
    for (let index = 0; index < entryCount; index++) this.entries.push(this.createEntry(index))
  }

  /** Advances the time and runs what is due meanwhile. */
  async advance (ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      if (this.elapsedMs % SWEEP_MS === 0) this.sweep()
      await this.leased.advance(STEP_MS)
      this.elapsedMs += STEP_MS
    }
  }

  /** Delays frames in the given directions, or delivers those that were delayed. */
  cutStream (directions: { toHost?: boolean, toCaller?: boolean }): void {
    Object.assign(this.stream!.isCut, directions)
    this.flush()
  }

  /** Resets the stream; frames in transit are lost. Another one is opened soon. */
  resetStream (): void {
    this.stream!.reset()
  }

  /** Freezes or resumes the entry: while frozen, it receives and sends nothing. */
  freeze (index: number, isFrozen: boolean): void {
    this.entries[index]!.isFrozen = isFrozen
    this.leased.entries[index]!.isUp = !isFrozen
    for (let agent = 0; agent < this.agentCount; agent++) this.leased.cut(agent, index, isFrozen)
    if (this.stream !== undefined) this.cutStream(index === 1 ? { toHost: isFrozen, toCaller: isFrozen } : { toHost: isFrozen, toCaller: isFrozen })
  }

  /** Kills the entry's process and starts another one. The stream is not opened again. */
  kill (index: number): void {
    this.stream?.drop(index === 1 ? 'host' : 'caller')
    this.leased.killEntry(index)
    this.entries[index] = this.createEntry(index)
    this.mayDial = false
  }

  private sweep (): void {
    const now = this.leased.clock.now()
    if (this.mayDial && (this.stream === undefined || this.stream.isClosed()) && !this.entries[0]!.isFrozen) this.dial()
    for (const { router, host, isFrozen } of this.entries) {
      if (isFrozen) continue
      router.sweep(now)
      host.sweep(now)
    }
  }

  private createEntry (index: number): HandOnEntry {
    const leased = this.leased.entries[index]!
    const { dispatcher } = leased
    const { clock } = this.leased
    const ownLoad = (): OriginView => ({ lagMs: entry.lagMs, returnedShare: 0, waitMs: longestWait(dispatcher.fleet, clock.now()) })
    const router = new HandedOnJobs({
      clock,
      zone: ZONE,
      times: LEASE_TIMES,
      dispatcher,
      ownLoad,
      limits: () => this.limits,
      events: {
        handedOn: () => { this.counts.handedOn++ },
        notHandedOn: () => {},
        ended: () => {},
        returned: (_job, reason, isPlaced) => { this.counts.returned.push(`${reason} ${isPlaced ? 'placed' : 'failed'}`) },
        peerLost: () => { this.counts.peerLost++ }
      }
    })
    const host = new HostedJobs({
      clock,
      dispatcher,
      fleet: dispatcher.fleet,
      find: (key) => router.find(key),
      ownLoad,
      isStopping: () => entry.isStopping,
      events: {
        hosted: () => { this.counts.hosted++ },
        refused: () => { this.counts.refused++ },
        originEntryLost: () => { this.counts.originEntryLost++ }
      }
    })
    leased.jobs = new LeasedJobs(clock, router)
    const entry: HandOnEntry = { router, host, isFrozen: false, isStopping: false, lagMs: index === 0 ? 60 : 0 }
    return entry
  }

  private flush (): void {
    const { isCut, delayed } = this.stream!
    for (const way of ['toHost', 'toCaller'] as const) if (!isCut[way]) for (const fn of delayed[way].splice(0)) fn()
  }

  private dial (): void {
    const { router } = this.entries[0]!
    const { host } = this.entries[1]!
    const isOpen = { caller: true, host: true }
    const stream: Stream = {
      isCut: { toHost: false, toCaller: false },
      delayed: { toHost: [], toCaller: [] },
      drop: (side) => {
        isOpen[side] = false
        if (side === 'host') deliver('toCaller', closeCaller)
        else deliver('toHost', closeHost)
      },
      reset: () => {
        closeCaller()
        closeHost()
      },
      isClosed: () => !isOpen.caller && !isOpen.host
    }
    const deliver = (way: 'toHost' | 'toCaller', fn: () => void): void => {
      if (stream.isCut[way]) stream.delayed[way].push(fn)
      else setImmediate(fn)
    }
    const closeHost = (): void => {
      if (!isOpen.host) return
      isOpen.host = false
      host.closed(originPeer)
      deliver('toCaller', closeCaller)
    }
    const closeCaller = (): void => {
      if (!isOpen.caller) return
      isOpen.caller = false
      router.closed(hostPeer)
      deliver('toHost', closeHost)
    }
    const toHost: HandOnLink<ReturnType<typeof newCallerFrame>> = {
      add: (add) => {
        if (!isOpen.caller) return
        const frame = newCallerFrame()
        add(frame)
        router.fillFrame(hostPeer, frame)
        deliver('toHost', () => { if (isOpen.host) host.onFrame(originPeer, frame) })
      },
      close: () => closeCaller()
    }
    const toCaller: HandOnLink<ReturnType<typeof newHostFrame>> = {
      add: (add) => {
        if (!isOpen.host) return
        const frame = newHostFrame()
        add(frame)
        setImmediate(() => {
          host.fillFrame(originPeer, frame)
          deliver('toCaller', () => { if (isOpen.caller) router.onFrame(hostPeer, frame) })
        })
      },
      close: () => closeHost()
    }
    this.stream = stream
    const hostPeer = router.open('host:1', ZONE, toHost)
    const originPeer = host.open(create(HandOnHelloSchema, { entryId: 'caller', zone: ZONE }), toCaller)
  }
}

const newCallerFrame = () => create(CallerFrameSchema)
const newHostFrame = () => create(HostFrameSchema)
