import type { Clock } from '@hazellift/common'
import { TASK_OUTCOMES } from '@hazellift/protocol'
import type { Reason, TaskKey, TaskOutcome } from '@hazellift/protocol'
import { describeEnd } from './describeEnd.js'
import type { EndpointSupervisor } from './endpointSupervisor.js'
import type { AttemptOutcome, InFlightRun } from './inFlightRun.js'
import type { RunInProgress } from './speedRecord.js'
import { WaitingStarts } from './waitingStarts.js'
import type { WaitingStart } from './waitingStarts.js'

type RunningTask = Pick<WaitingStart, 'owner' | 'key' | 'expectedMs'> & { run: InFlightRun }

/** A task that runs or waits, and the entry that sent it. */
export type OwnedTask = Pick<WaitingStart, 'owner' | 'key'>

/** What the tasks at an agent need. */
export interface HostTasksOptions {
  clock: Pick<Clock, 'now'>
  /** A run was done. */
  onDone: (runMs: number, expectedMs: number) => void
  /** A start is over, however it ended. */
  report: (owner: string, key: TaskKey, outcome: TaskOutcome, reason: Reason | '', runMs: number) => void
}

/** Tasks at an agent: those that wait for room, and those ordered at the endpoint and not proved over. */
export class HostTasks {
  readonly waiting = new WaitingStarts()
  private running: RunningTask[] = []

  constructor (private readonly options: HostTasksOptions) {}

  /** Tasks that run or wait. */
  get busyCount (): number {
    return this.running.length + this.waiting.size
  }

  /** Tasks that run. */
  get runningCount (): number {
    return this.running.length
  }

  /** What runs, for a judgement of the endpoint's speed. */
  get runs (): RunInProgress[] {
    return this.running.map(({ run: held, expectedMs }) => ({ startedAt: held.startedAt, expectedMs }))
  }

  /** Tasks of an entry that run or wait. */
  tasksOf (incarnation: string): OwnedTask[] {
    return [...this.running, ...this.waiting].filter(({ owner }) => owner === incarnation)
  }

  /** True if a task of such an entry runs and is not being stopped. */
  isRunningFor (isMeant: (incarnation: string) => boolean): boolean {
    return this.running.some(({ owner, run: held }) => held.stopReason === undefined && isMeant(owner))
  }

  /** Begins what waits, as far as it fits. */
  startFitting (life: EndpointSupervisor): void {
    for (let start = this.waiting.takeFirst(life.freeCapacity); start !== undefined; start = this.waiting.takeFirst(life.freeCapacity)) this.run(life, start)
  }

  /** Gives back what waits and is meant. */
  refuse (isRefused: (start: WaitingStart) => boolean, reason: Reason): void {
    for (const { owner, key } of this.waiting.removeMatching(isRefused)) this.options.report(owner, key, TASK_OUTCOMES.notStarted, reason, 0)
  }

  /** Stops what runs and is meant, unless that was asked for before. */
  stop (life: EndpointSupervisor | undefined, isMeant: (task: OwnedTask) => boolean, reason: Reason, onStop: (task: OwnedTask) => void = () => {}): void {
    for (const task of this.running.filter(isMeant)) {
      if (task.run.stopReason !== undefined) continue
      onStop(task)
      life?.stop(task.run, reason)
    }
  }

  private run (life: EndpointSupervisor, { owner, key, payload, need, expectedMs }: WaitingStart): void {
    const held = life.start(key.submission, key.task, payload, need, (over) => this.onTerminated(running, over))
    const running = { owner, key, held, expectedMs }
    this.running.push(running)
  }

  private onTerminated (running: RunningTask, over: AttemptOutcome): void {
    this.running = this.running.filter((other) => other !== running)
    const { owner, key, run: held, expectedMs } = running
    const runMs = Math.round(this.options.clock.now() - held.startedAt)
    const { outcome, reason, hasRun } = describeEnd(over)
    if (outcome === TASK_OUTCOMES.done) this.options.onDone(runMs, expectedMs)
    this.options.report(owner, key, outcome, reason, hasRun ? runMs : 0)
  }
}
