import type { Clock } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { EndpointResponsiveness } from './endpointResponsiveness.js'
import { taskNameOf } from './inFlightRun.js'
import type { AttemptOutcome, InFlightRun } from './inFlightRun.js'
import { RunNumbers } from './runNumbers.js'
import { LateAnswer } from './lateAnswer.js'
import type { LeasedEndpoint, StartOutcome } from './types.js'

/** What orders to an endpoint need. */
export interface EndpointOrdersOptions {
  clock: Clock
  endpoint: LeasedEndpoint
  responsiveness: EndpointResponsiveness
  /** True while the run is not confirmed terminated. */
  isInFlight: (run: InFlightRun) => boolean
  /** True once the endpoint's incarnation has ended. */
  isEnded: () => boolean
  /** Stops runs without an entry lease; called before a start is repeated, as a start may renew the run lease. */
  beforeRenewal: () => void
  /** False while nothing may be started. */
  mayStart: () => boolean
  /** A start is about to be sent. Returns the length of the run lease that it carries, in ms. */
  leaseForStart: () => number
  /** The order's outcome is known: a poll sent from now on that does not list the run confirms that it has terminated. */
  onResolved: (run: InFlightRun) => void
  /** The endpoint has confirmed that it stops the run. */
  onStopAnswered: (run: InFlightRun) => void
  onTerminated: (run: InFlightRun, outcome: AttemptOutcome) => void
  /** Another incarnation of the endpoint has answered. */
  onGone: () => void
  /** Polls the endpoint at once, without renewal. */
  poll: () => void
  log: (event: string, fields: Record<string, string | number | boolean | undefined>) => void
}

/** How many run numbers that the endpoint rejects as used are tried before the task goes to another endpoint. */
const MAX_NUMBER_TRIES = 6
/**
 * How often a start is sent if none is answered: with 8% of orders lost, one in
 * 2000 fails. The task then goes to another endpoint, once a stop has ruled out
 * that it still begins here.
 */
const MAX_START_TRIES = 3
/** Unanswered stops that are repeated at once; further ones follow with exponential backoff. */
const IMMEDIATE_STOP_TRIES = 3
const STOP_BACKOFF = { baseMs: 10, maxMs: 100 }

/** Orders one incarnation of an endpoint to start and stop runs, and repeats each order until its outcome is known. */
export class EndpointOrders {
  private readonly runNumbers = new RunNumbers()

  constructor (private readonly options: EndpointOrdersOptions) {}

  /**
   * Orders a start. An unanswered one is repeated with the same run number, as
   * the endpoint begins each number once: the first copy that arrives starts
   * the run, and no other starts it again, however late it arrives.
   */
  async start (run: InFlightRun): Promise<void> {
    const { endpoint, responsiveness, isInFlight, leaseForStart, onGone } = this.options
    let usedNumbers = 0
    let unanswered = 0
    const late = new LateAnswer<StartOutcome>()
    // Only this answer settles the order: of a copy that was refused, another one may still be carried out.
    const onLate = (outcome: StartOutcome): void => {
      if (outcome.type !== 'started') return
      run.hasBegun = true
      late.arrive(outcome)
    }
    run.run = this.runNumbers.next(taskNameOf(run), 0)
    while (true) {
      const outcome = await late.orEarlier(endpoint.start({ ...run, runLeaseMs: leaseForStart(), onLate }))
      if (!isInFlight(run)) return
      if (outcome.type === 'gone') {
        // Without an earlier copy nothing was carried out: only another incarnation has received the order, and refused it.
        if (unanswered === 0) this.onNotStarted(run, REASONS.endpointGone)
        return onGone()
      }
      // After an unanswered order, a used number means that the run has begun and ended.
      if (outcome.type === 'started' || (outcome.type === 'number_used' && unanswered > 0)) return this.onStarted(run)
      if (outcome.type === 'unknown') {
        responsiveness.onCallLost()
        if (++unanswered === MAX_START_TRIES || !this.mayRepeat(run)) return this.resolveUnknown(run)
        continue
      }
      // This copy is refused, but an earlier unanswered one may still be carried out.
      if (unanswered > 0) return this.resolveUnknown(run)
      if (outcome.type === 'refused') return this.onNotStarted(run, outcome.reason)
      if (++usedNumbers === MAX_NUMBER_TRIES || !this.mayRepeat(run)) return this.onNotStarted(run, REASONS.endpointBusy)
      const used = run.run
      run.run = this.runNumbers.next(taskNameOf(run), usedNumbers)
      this.options.log('run_number_used', { job: run.submission, task: run.index, used, run: run.run })
    }
  }

  /** Orders a stop until it is answered: before that, a run whose start was not answered may still begin. */
  async stop (run: InFlightRun): Promise<void> {
    const { clock, endpoint, responsiveness, isInFlight, isEnded, onResolved, onStopAnswered, poll } = this.options
    const isUnresolved = (): boolean => run.resolvedAtPoll === undefined
    const late = new LateAnswer<boolean>()
    for (let tries = 1; (isInFlight(run) || isUnresolved()) && !isEnded(); tries++) {
      if (await late.orEarlier(endpoint.stop(run, () => late.arrive(true)))) {
        onResolved(run)
        onStopAnswered(run)
        // The endpoint lists no end for a run that never began, so only a poll can confirm it.
        if (run.stopReason === REASONS.orderUnanswered) poll()
        return
      }
      responsiveness.onCallLost()
      // While the endpoint is unresponsive, only polls check whether it answers again.
      await responsiveness.untilResponsive()
      if (tries >= IMMEDIATE_STOP_TRIES) await clock.sleep(Math.min(STOP_BACKOFF.maxMs, STOP_BACKOFF.baseMs * 2 ** (tries - IMMEDIATE_STOP_TRIES)))
    }
  }

  /**
   * True if a start may be repeated: the entry lease must still be valid, as this
   * process may have been suspended since the start was sent, and starts must still
   * be allowed.
   */
  private mayRepeat (run: InFlightRun): boolean {
    this.options.beforeRenewal()
    return run.stopReason === undefined && this.options.isInFlight(run) && this.options.mayStart()
  }

  private onStarted (run: InFlightRun): void {
    run.hasBegun = true
    this.options.onResolved(run)
    if (run.stopReason !== undefined) void this.stop(run)
  }

  private onNotStarted (run: InFlightRun, reason: Reason): void {
    this.options.onTerminated(run, { type: 'not_started', reason })
  }

  private resolveUnknown (run: InFlightRun): void {
    this.options.log('order_unanswered', { job: run.submission, task: run.index, run: run.run })
    run.stopReason ??= REASONS.orderUnanswered
    void this.stop(run)
  }
}
