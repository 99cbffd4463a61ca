import { create } from '@bufbuild/protobuf'
import type { OriginView, HandOnLimits } from '@hazellift/decisions'
import { CallerFrameSchema, HandOnHelloSchema, HostFrameSchema } from '@hazellift/protocol'
import { HandedOnJobs, HostedJobs, LeasedJobs, longestWait } from '../../src/index.js'
import type { HandOnLink } from '../../src/index.js'
import { LeasedNetwork, LEASE_TIMES } from '../leased/leasedNetwork.js'

const STEP_MS = 5
const SWEEP_MS = 25
const ZONE = 'z'
/** Room enough that an entry's part of it is more than the jobs of these tests need. */
const CAPACITY = { cpuMilli: 16_000, memoryMb: 16_000 }

/** An entry as far as handing on goes. */
export interface HandOnEntry {
  router: HandedOnJobs
  host: HostedJobs
  /** It stands still. */
  isFrozen: boolean
  isStopping: boolean
  lagMs: number
}

/** A stream from one entry to another, with each way of it held up or not. */
interface Stream {
  isCut: { toHost: boolean, toCaller: boolean }
  delayed: { toHost: Array<() => void>, toCaller: Array<() => void> }
  /** Both processes forget it, without a word to either. */
  drop: (side: 'host' | 'caller') => void
  isClosed: () => boolean
}

/** Entries that hand work on, with agents, on a fake clock. The stream goes from entry 0 to entry 1. */
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

  /** Moves time on, with everything that happens meanwhile. */
  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      if (this.elapsedMs % SWEEP_MS === 0) this.sweep()
      await this.leased.advance(STEP_MS)
      this.elapsedMs += STEP_MS
    }
  }

  /** Holds frames up, either way, until they are let go. */
  cutStream (ways: { toHost?: boolean, toCaller?: boolean }): void {
    Object.assign(this.stream!.isCut, ways)
    this.flush()
  }

  /** The entry stands still: it reads and sends nothing. */
  freeze (index: number, isFrozen: boolean): void {
    this.entries[index]!.isFrozen = isFrozen
    this.leased.entries[index]!.isUp = !isFrozen
    for (let agent = 0; agent < this.agentCount; agent++) this.leased.cut(agent, index, isFrozen)
    if (this.stream !== undefined) this.cutStream(index === 1 ? { toHost: isFrozen, toCaller: isFrozen } : { toHost: isFrozen, toCaller: isFrozen })
  }

  /** The entry's process dies; another one begins. Nobody dials again. */
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
    const own = (): OriginView => ({ lagMs: entry.lagMs, returnedShare: 0, waitMs: longestWait(dispatcher.fleet, clock.now()) })
    const router = new HandedOnJobs({
      clock,
      zone: ZONE,
      times: LEASE_TIMES,
      dispatcher,
      ownLoad: own,
      limits: () => this.limits,
      events: {
        handedOn: () => { this.counts.handedOn++ },
        notHandedOn: () => {},
        ended: () => {},
        returned: (_job, reason, isPlaced) => { this.counts.returned.push(`${reason} ${isPlaced ? 'placed' : 'given up'}`) },
        peerLost: () => { this.counts.peerLost++ }
      }
    })
    const host = new HostedJobs({
      clock,
      dispatcher,
      fleet: dispatcher.fleet,
      find: (key) => router.find(key),
      ownLoad: own,
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
    const { isCut, delayed: held } = this.stream!
    for (const way of ['toHost', 'toCaller'] as const) if (!isCut[way]) for (const fn of held[way].splice(0)) fn()
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
