import type { Clock } from '@hazellift/common'
import { TASK_OUTCOMES } from '@hazellift/protocol'
import type { Reason, TaskKey, TaskOutcome } from '@hazellift/protocol'
import { describeEnd } from './describeEnd.js'
import type { EndpointSupervisor } from './endpointSupervisor.js'
import type { AttemptOutcome, InFlightRun } from './inFlightRun.js'
import type { RunInProgress } from './speedRecord.js'
import { WaitingStarts } from './waitingStarts.js'
import type { WaitingStart } from './waitingStarts.js'

type RunningTask = Pick<WaitingStart, 'owner' | 'key' | 'expectedMs'> & {
  run: InFlightRun
  /** Of the endpoint incarnation that runs it; may be a retired one. */
  supervisor: EndpointSupervisor
}

/** A task that runs or waits at an agent, and the entry that sent it. */
export type OwnedTask = Pick<WaitingStart, 'owner' | 'key'>

/** What the tasks at an agent need. */
export interface HostTasksOptions {
  clock: Pick<Clock, 'now'>
  /** A task has succeeded at the current endpoint. */
  onDone: (runMs: number, expectedMs: number) => void
  /** The endpoint was ordered to begin a run; it has not answered yet. */
  onOrdered: (task: OwnedTask, run: number) => void
  /** Reports the result of a start to its entry, however it ended. */
  report: (owner: string, key: TaskKey, outcome: TaskOutcome, reason: Reason | '', runMs: number) => void
}

/** The tasks at an agent: those that wait for free capacity, and those whose runs are in flight. */
export class HostTasks {
  readonly waiting = new WaitingStarts()
  private running: RunningTask[] = []

  constructor (private readonly options: HostTasksOptions) {}

  /** Number of tasks that run or wait. */
  get busyCount (): number {
    return this.running.length + this.waiting.size
  }

  /** Number of tasks that run. */
  get runningCount (): number {
    return this.running.length
  }

  /** The tasks that run at the current endpoint, for the estimate of its speed. */
  get runs (): RunInProgress[] {
    return this.current.map(({ run, expectedMs }) => ({ startedAt: run.startedAt, expectedMs }))
  }

  /** True if a run of this task is not confirmed terminated, or a start of it waits, whoever sent it. */
  has ({ submission, task }: Pick<TaskKey, 'submission' | 'task'>): boolean {
    const isRunning = this.running.some(({ key }) => key.submission === submission && key.task === task)
    return isRunning || this.waiting.has({ submission, task })
  }

  /** Tasks of an entry that run or wait. */
  tasksOf (incarnation: string): OwnedTask[] {
    return [...this.running, ...this.waiting].filter(({ owner }) => owner === incarnation)
  }

  /** True if a task of a matching entry runs at the current endpoint and is not being stopped. */
  isRunningFor (matches: (incarnation: string) => boolean): boolean {
    return this.current.some(({ owner, run }) => run.stopReason === undefined && matches(owner))
  }

  /** Starts waiting tasks in order, as long as the first one fits the free capacity. */
  startFitting (supervisor: EndpointSupervisor): void {
    for (let start = this.waiting.takeFirst(supervisor.freeCapacity); start !== undefined; start = this.waiting.takeFirst(supervisor.freeCapacity)) this.start(supervisor, start)
  }

  /**
   * Rejects matching starts that wait, with nothing run.
   *
   * @returns number of starts rejected
   */
  refuse (matches: (start: WaitingStart) => boolean, reason: Reason): number {
    const refused = this.waiting.removeMatching(matches)
    for (const { owner, key } of refused) this.options.report(owner, key, TASK_OUTCOMES.notStarted, reason, 0)
    return refused.length
  }

  /**
   * Stops matching tasks that run, except those that are being stopped already.
   *
   * @param matches - chooses the tasks
   * @param reason - reported to their entries
   * @param onStop - called for each task that is stopped by this call
   * @returns number of tasks that are stopped by this call
   */
  stop (matches: (task: OwnedTask) => boolean, reason: Reason, onStop: (task: OwnedTask) => void = () => {}): number {
    const stopped = this.running.filter((task) => matches(task) && task.run.stopReason === undefined)
    for (const task of stopped) {
      onStop(task)
      task.supervisor.stop(task.run, reason)
    }
    return stopped.length
  }

  private get current (): RunningTask[] {
    return this.running.filter(({ supervisor }) => !supervisor.isRetired)
  }

  private start (supervisor: EndpointSupervisor, { owner, key, payload, need, expectedMs }: WaitingStart): void {
    const run = supervisor.start(key.submission, key.task, payload, need, (outcome) => this.onTerminated(running, outcome))
    const running = { owner, key, run, expectedMs, supervisor }
    this.running.push(running)
    this.options.onOrdered(running, run.run)
  }

  private onTerminated (running: RunningTask, attempt: AttemptOutcome): void {
    this.running = this.running.filter((other) => other !== running)
    const { owner, key, run, expectedMs, supervisor } = running
    const runMs = Math.round(this.options.clock.now() - run.startedAt)
    const { outcome, reason, hasRun } = describeEnd(attempt)
    // A retired endpoint says nothing of the speed of the current one.
    if (outcome === TASK_OUTCOMES.done && !supervisor.isRetired) this.options.onDone(runMs, expectedMs)
    this.options.report(owner, key, outcome, reason, hasRun ? runMs : 0)
  }
}
