import type { Clock } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { EndpointState, Reason } from '@hazellift/protocol'
import { describeIncarnation } from './describeIncarnation.js'
import { EndpointSupervisor } from './endpointSupervisor.js'
import type { AnnouncedIncarnation, LeasedHostOptions } from './leasedHostOptions.js'

/** What the endpoint of a host needs. */
export interface HostEndpointOptions extends Pick<LeasedHostOptions, 'times' | 'pollWaitMs' | 'log'> {
  clock: Clock
  /** Called before the run lease is renewed: stops runs without an entry lease, which must not be renewed. */
  beforeRenewal: () => void
  /** True while some run's entry lease is unverified: polls do not renew the run lease then. */
  isUnverified: () => boolean
  /** False while nothing may be started. */
  mayStart: () => boolean
  /** The free capacity may have grown. */
  onCapacityFreed: () => void
  /** The state that is reported to entries has changed. */
  onChange: () => void
  /** Waiting starts can't begin any more: the endpoint was removed. */
  onRemoved: () => void
  /** Number of tasks that run or wait here. */
  busyCount: () => number
}

const NO_CAPACITY: Resources = { cpuMilli: 0, memoryMb: 0 }

const isEqual = (one: Resources, other: Resources): boolean => one.cpuMilli === other.cpuMilli && one.memoryMb === other.memoryMb

/** The endpoint beside an agent: its current incarnation, its announced capacity, and how incarnations end. */
export class HostEndpoint {
  private current: EndpointSupervisor | undefined
  private announced: AnnouncedIncarnation | undefined
  private draining = false

  constructor (private readonly options: HostEndpointOptions) {}

  /** Supervisor of the current incarnation; undefined while there is none. */
  get supervisor (): EndpointSupervisor | undefined {
    return this.current
  }

  /** Name of the current incarnation; undefined while there is none. */
  get incarnation (): string | undefined {
    return this.announced?.incarnation
  }

  /** The whole capacity, as last announced; zero without an endpoint. */
  get capacity (): Resources {
    return this.announced?.capacity ?? NO_CAPACITY
  }

  /** True once the current incarnation has announced that it leaves. */
  get isDraining (): boolean {
    return this.draining
  }

  /** What is reported to entries. An incarnation is reported only once it accepts starts: the runs of earlier agents have terminated then. */
  get state (): EndpointState {
    return describeIncarnation(this.current?.acceptsStarts === true ? this.announced : undefined)
  }

  /** Begins a new incarnation. An earlier one was retired before, unless its runs are known to have terminated. */
  begin (announced: AnnouncedIncarnation): void {
    const { clock, times, pollWaitMs, log, beforeRenewal, isUnverified, mayStart, onCapacityFreed, onChange } = this.options
    this.remove(REASONS.endpointCrashed)
    this.announced = announced
    this.draining = false
    this.current = new EndpointSupervisor({
      clock,
      times,
      log,
      beforeRenewal,
      isUnverified,
      mayStart,
      onCapacityFreed,
      endpoint: announced.endpoint,
      capacity: announced.capacity,
      pollWaitMs,
      endReason: () => this.endReasonOf(REASONS.endpointCrashed),
      onReady: onChange,
      onGone: () => this.remove(REASONS.endpointCrashed)
    })
  }

  /** Adopts another announced capacity: runs continue, and nothing starts that does not fit beside them. */
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

  /** The current incarnation has announced that it leaves. */
  drain (): void {
    this.draining = true
  }

  /**
   * Removes the current incarnation, which has ended, and all of its runs with it.
   *
   * @param why - replaced by `endpointGone` if it crashed after it had announced that it leaves
   */
  remove (why: Reason): void {
    this.detach('endpoint_removed', why, (supervisor, reason) => supervisor.end(reason))
  }

  /**
   * Retires the current incarnation: it gets no more work, and its runs are lost one by
   * one as they are confirmed terminated, beside those of the next incarnation.
   *
   * @param why - as for `remove`
   */
  retire (why: Reason): void {
    this.detach('endpoint_retired', why, (supervisor, reason) => supervisor.retire(reason))
  }

  private detach (event: string, why: Reason, endRuns: (supervisor: EndpointSupervisor, reason: Reason) => void): void {
    const { announced, current } = this
    if (announced === undefined || current === undefined) return
    const { log, busyCount, onRemoved, onChange } = this.options
    const reason = this.endReasonOf(why)
    log(event, { endpoint: announced.incarnation, reason, tasks: busyCount() })
    this.current = undefined
    this.announced = undefined
    onRemoved()
    endRuns(current, reason)
    onChange()
  }

  /** An incarnation that has announced that it leaves ends as planned, even by a crash. */
  private endReasonOf (why: Reason): Reason {
    return this.draining && why === REASONS.endpointCrashed ? REASONS.endpointGone : why
  }
}
