import type { Clock } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { EndpointResponsiveness } from './endpointResponsiveness.js'
import { taskNameOf } from './inFlightRun.js'
import type { AttemptOutcome, InFlightRun } from './inFlightRun.js'
import { RunNumbers } from './runNumbers.js'
import type { LeaseTimes } from './times.js'
import type { LeasedEndpoint } from './types.js'

/** What orders to an endpoint need. */
export interface EndpointOrdersOptions {
  clock: Clock
  endpoint: LeasedEndpoint
  times: LeaseTimes
  responsiveness: EndpointResponsiveness
  /** True while the task is not proved to be over. */
  isInFlight: (task: InFlightRun) => boolean
  /** True once the endpoint's life is over. */
  isEnded: () => boolean
  /** Stops what runs without authority. */
  beforeRenewal: () => void
  /** False while nothing may be started. */
  mayStart: () => boolean
  /** What runs there is held on from now. */
  onRenewed: () => void
  /** Looks sent from now on prove by its absence that the task is over. */
  onResolved: (task: InFlightRun) => void
  onTerminated: (task: InFlightRun, over: AttemptOutcome) => void
  /** Another life of the endpoint has answered. */
  onGone: () => void
  /** Shows what runs, at once. */
  poll: () => void
  log: (event: string, fields: Record<string, string | number | boolean | undefined>) => void
}

const MAX_NUMBER_TRIES = 6
/** An unanswered start is sent again so often: at 8% lost orders one in 2000 fails. Then its task goes elsewhere, once a stop has forbidden it here. */
const MAX_START_TRIES = 3
/** An unanswered stop is repeated at once so often, then with growing pauses. */
const IMMEDIATE_STOP_TRIES = 3
const STOP_BACKOFF = { baseMs: 10, maxMs: 100 }

/** Orders of one life of an endpoint to start and stop tasks, each repeated until it is settled. */
export class EndpointOrders {
  private readonly runNumbers = new RunNumbers()

  constructor (private readonly options: EndpointOrdersOptions) {}

  /**
   * Orders a start. One without an answer is sent again with the same number:
   * whichever copy arrives first begins the run, and no other begins it again,
   * however late it is.
   */
  async start (task: InFlightRun): Promise<void> {
    const { endpoint, times, responsiveness: contact, isInFlight: isOpen, onRenewed: onHeld, onGone } = this.options
    let used = 0
    let unanswered = 0
    task.run = this.runNumbers.next(taskNameOf(task), 0)
    while (true) {
      onHeld()
      const outcome = await endpoint.start({ ...task, runLeaseMs: times.runLeaseMs })
      if (!isOpen(task)) return
      if (outcome.type === 'gone') return onGone()
      // A number that is used after an unanswered order: its run has begun, and ended.
      if (outcome.type === 'started' || (outcome.type === 'number_used' && unanswered > 0)) return this.onStarted(task)
      if (outcome.type === 'unknown') {
        contact.onCallLost()
        if (++unanswered === MAX_START_TRIES || !this.mayRepeat(task)) return this.resolveUnknown(task)
        continue
      }
      // Refused now, but an unanswered copy may still be carried out.
      if (unanswered > 0) return this.resolveUnknown(task)
      if (outcome.type === 'refused') return this.onNotStarted(task, outcome.reason)
      if (++used === MAX_NUMBER_TRIES || !this.mayRepeat(task)) return this.onNotStarted(task, REASONS.endpointBusy)
      task.run = this.runNumbers.next(taskNameOf(task), used)
    }
  }

  /** Orders a stop, until it is answered: before that, a run whose start was not answered may begin late. */
  async stop (task: InFlightRun): Promise<void> {
    const { clock, endpoint, responsiveness: contact, isInFlight: isOpen, isEnded, onResolved: onSettled, poll: look } = this.options
    const isUnsettled = (): boolean => task.resolvedAtPoll === undefined
    for (let tries = 1; (isOpen(task) || isUnsettled()) && !isEnded(); tries++) {
      if (await endpoint.stop(task)) {
        onSettled(task)
        // No end will be listed of a run that never began.
        if (task.stopReason === REASONS.orderUnanswered) look()
        return
      }
      contact.onCallLost()
      // At a silent endpoint the holds ask whether it answers again.
      await contact.untilResponsive()
      if (tries >= IMMEDIATE_STOP_TRIES) await clock.sleep(Math.min(STOP_BACKOFF.maxMs, STOP_BACKOFF.baseMs * 2 ** (tries - IMMEDIATE_STOP_TRIES)))
    }
  }

  /**
   * An order is repeated only under authority that holds now, as this process may
   * have stood still since it was sent, and only while starts are still allowed.
   */
  private mayRepeat (task: InFlightRun): boolean {
    this.options.beforeRenewal()
    return task.stopReason === undefined && this.options.isInFlight(task) && this.options.mayStart()
  }

  private onStarted (task: InFlightRun): void {
    this.options.onResolved(task)
    if (task.stopReason !== undefined) void this.stop(task)
  }

  private onNotStarted (task: InFlightRun, reason: Reason): void {
    this.options.onTerminated(task, { type: 'not_started', reason })
  }

  private resolveUnknown (task: InFlightRun): void {
    this.options.log('order_unanswered', { job: task.submission, task: task.index, run: task.run })
    task.stopReason ??= REASONS.orderUnanswered
    void this.stop(task)
  }
}
