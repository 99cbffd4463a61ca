import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import { taskNameOf } from './inFlightRun.js'
import type { AttemptOutcome, InFlightRun } from './inFlightRun.js'
import { RUN_ENDS } from './types.js'
import type { ListedEnd, PollOutcome, RunRef } from './types.js'

/** What the runs in flight at an endpoint need. */
export interface InFlightRunsOptions {
  /** True if every run lease had expired at this time, on the agent's clock. */
  hasExpiredAt: (time: number) => boolean
  /** A run has left the runs in flight, and was reported. */
  onTerminated: () => void
  /** The endpoint lists a run that is not in flight: it is considered terminated, or an earlier agent ordered it. */
  onOrphan: (run: RunRef) => void
}

/**
 * The reason that is reported for a run that ended with its endpoint. A task crashes an
 * endpoint only once it has begun there, so a crash before that is told apart.
 */
const reasonOfLoss = ({ hasBegun }: InFlightRun, reason: Reason): Reason =>
  reason === REASONS.endpointCrashed && !hasBegun ? REASONS.endpointCrashedAtStart : reason

/** The runs of one endpoint incarnation that are not confirmed terminated, and what the answers to polls prove of them. */
export class InFlightRuns {
  /** By task name. */
  readonly byTask = new Map<string, InFlightRun>()
  /** Highest sequence number of the ends that were read. */
  lastSeen = 0
  private pollCount = 0
  /** Number of the newest poll whose answer was read. */
  private lastAnsweredPoll = 0

  constructor (private readonly options: InFlightRunsOptions) {}

  get size (): number {
    return this.byTask.size
  }

  /** True while this very run is not confirmed terminated. */
  has (run: InFlightRun): boolean {
    return this.byTask.get(taskNameOf(run)) === run
  }

  add (run: InFlightRun): void {
    this.byTask.set(taskNameOf(run), run)
  }

  /** A poll is sent now. Returns its number. */
  onPollSent (): number {
    return ++this.pollCount
  }

  /** The outcome of the run's order is known: a later poll that does not list it confirms that it has terminated. */
  onResolved (run: InFlightRun): void {
    run.resolvedAtPoll = this.pollCount
  }

  /** Confirms the termination of a run, and reports it. */
  terminate (run: InFlightRun, outcome: AttemptOutcome): void {
    if (!this.has(run)) return
    this.byTask.delete(taskNameOf(run))
    run.onTerminated(outcome)
    this.options.onTerminated()
  }

  /** Nothing runs any more. */
  loseAll (reason: Reason): void {
    for (const run of [...this.byTask.values()]) this.terminate(run, { type: 'lost', reason: reasonOfLoss(run, reason) })
  }

  /**
   * Confirms the termination of runs that the answer lists as ended or does not list.
   *
   * @param poll - the number of the poll
   * @param sentAt - when it was sent, on the agent's clock
   * @param listing - what it lists
   */
  reconcile (poll: number, sentAt: number, { running, ended }: PollOutcome & { type: 'listed' }): void {
    for (const end of ended) this.onListedEnd(end)
    const listed = new Set(running.map(({ run, ...ref }) => `${taskNameOf(ref)}#${run}`))
    // An order without an answer can't be carried out any more either, as the endpoint refuses what comes after the lease that it carries.
    const hasExpired = this.options.hasExpiredAt(sentAt)
    for (const run of [...this.byTask.values()]) {
      const isListed = listed.has(`${taskNameOf(run)}#${run.run}`)
      run.hasBegun ||= isListed
      const isResolved = hasExpired || (run.resolvedAtPoll !== undefined && poll > run.resolvedAtPoll)
      if (!isResolved || isListed) continue
      const reason = run.stopReason ?? REASONS.leaseExpired
      this.terminate(run, reason === REASONS.orderUnanswered ? { type: 'not_started', reason } : { type: 'lost', reason })
    }
    // An answer that arrives after that of a later poll may list runs that have ended since.
    if (poll < this.lastAnsweredPoll) return
    this.lastAnsweredPoll = poll
    for (const run of running) if (!this.byTask.has(taskNameOf(run))) this.options.onOrphan(run)
  }

  private onListedEnd (end: ListedEnd): void {
    if (end.seq <= this.lastSeen) return
    this.lastSeen = end.seq
    const run = this.byTask.get(taskNameOf(end))
    if (run?.run !== end.run) return
    const wasStopped = run.stopReason !== undefined && end.how !== RUN_ENDS.done && end.how !== RUN_ENDS.failed
    this.terminate(run, wasStopped ? { type: 'lost', reason: run.stopReason! } : { type: 'ended', how: end.how })
  }
}
