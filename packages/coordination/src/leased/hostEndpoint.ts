import type { Clock } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { EndpointState, Reason } from '@hazellift/protocol'
import { describeIncarnation } from './describeIncarnation.js'
import { EndpointSupervisor } from './endpointSupervisor.js'
import type { AnnouncedIncarnation, LeasedHostOptions } from './leasedHostOptions.js'

/** What the endpoint of a host needs. */
export interface HostEndpointOptions extends Pick<LeasedHostOptions, 'times' | 'holdWaitMs' | 'log'> {
  clock: Clock
  /** Called before each hold: runs without authority must be stopped before they are held on. */
  beforeRenewal: () => void
  /** True while what runs is looked at only, and not held on. */
  isUnverified: () => boolean
  /** False while nothing may be started. */
  mayStart: () => boolean
  /** The room changed. */
  onCapacityFreed: () => void
  /** Entries must hear of the endpoint. */
  onChange: () => void
  /** Nothing that waits can start any more. */
  onRemoved: () => void
  /** Tasks that run or wait here. */
  busyCount: () => number
}

const NO_CAPACITY: Resources = { cpuMilli: 0, memoryMb: 0 }

const isEqual = (one: Resources, other: Resources): boolean => one.cpuMilli === other.cpuMilli && one.memoryMb === other.memoryMb

/** The endpoint beside an agent: which life of it is served, with what capacity, and how lives end. */
export class HostEndpoint {
  private current: EndpointSupervisor | undefined
  private announced: AnnouncedIncarnation | undefined
  private draining = false

  constructor (private readonly options: HostEndpointOptions) {}

  /** The life that is served. */
  get supervisor (): EndpointSupervisor | undefined {
    return this.current
  }

  /** Its name. */
  get incarnation (): string | undefined {
    return this.announced?.incarnation
  }

  /** All that it has, as it told last. */
  get capacity (): Resources {
    return this.announced?.capacity ?? NO_CAPACITY
  }

  /** True once the life has said that it leaves. */
  get isDraining (): boolean {
    return this.draining
  }

  /** What entries are told: of a life once it takes starts, as then nothing that an earlier agent left runs any more. */
  get state (): EndpointState {
    return describeIncarnation(this.current?.acceptsStarts === true ? this.announced : undefined)
  }

  /** A new life; everything of an earlier one is over. */
  begin (announced: AnnouncedIncarnation): void {
    const { clock, times, pollWaitMs: holdWaitMs, log, beforeRenewal: beforeHold, isUnverified: isDoubtful, mayStart, onCapacityFreed: onRoom, onChange } = this.options
    this.remove(REASONS.endpointCrashed)
    this.announced = announced
    this.draining = false
    this.current = new EndpointSupervisor({
      clock,
      times,
      log,
      beforeRenewal: beforeHold,
      isUnverified: isDoubtful,
      mayStart,
      onCapacityFreed: onRoom,
      endpoint: announced.endpoint,
      capacity: announced.capacity,
      pollWaitMs: holdWaitMs,
      endReason: () => this.endReasonOf(REASONS.endpointCrashed),
      onReady: onChange,
      onGone: () => this.remove(REASONS.endpointCrashed)
    })
  }

  /** It has told another capacity: what runs goes on, and nothing starts until it fits. */
  setCapacity (capacity: Resources): void {
    const { announced, current } = this
    if (announced === undefined || current === undefined || isEqual(announced.capacity, capacity)) return
    this.options.log('capacity_changed', {
      endpoint: announced.incarnation, cpuBefore: announced.capacity.cpuMilli, cpu: capacity.cpuMilli, memoryBefore: announced.capacity.memoryMb, memory: capacity.memoryMb, running: current.inFlightCount
    })
    this.announced = { ...announced, capacity }
    current.remaining.setCapacity(capacity)
    if (current.acceptsStarts) this.options.onChange()
    this.options.onCapacityFreed()
  }

  /** It says that it leaves. */
  drain (): void {
    this.draining = true
  }

  /** It ended, or must get no more work. */
  remove (why: Reason): void {
    if (this.announced === undefined) return
    const { log, busyCount: busy, onRemoved, onChange } = this.options
    const reason = this.endReasonOf(why)
    log('endpoint_removed', { endpoint: this.announced.incarnation, reason, tasks: busy() })
    const life = this.current
    this.current = undefined
    this.announced = undefined
    onRemoved()
    life?.end(reason)
    onChange()
  }

  /** A life that had said that it leaves ends as planned, however it ends. */
  private endReasonOf (why: Reason): Reason {
    return this.draining && why === REASONS.endpointCrashed ? REASONS.endpointGone : why
  }
}
