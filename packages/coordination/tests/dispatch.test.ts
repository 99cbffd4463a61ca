import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { TASK_OUTCOMES } from '@hazellift/protocol'
import { createCollectedJob, createJob, taskKey } from '../src/index.js'
import type { Job } from '../src/index.js'
import { FakeNetwork, JOB_BASE, MEMORY_MS, RESUME_WINDOW_MS } from './fakeNetwork.js'

const DONE = { outcome: TASK_OUTCOMES.done, reason: '' as const, body: 'ok' }

/** Waits until the callbacks of ended attempts have run. */
const flush = () => new Promise<void>((resolve) => setImmediate(resolve))

/** Keys of the starts of a job. */
const startsOf = (network: FakeNetwork, job: Job): string[] =>
  network.starts.filter((key) => key.startsWith(`${job.key}/`))

/** A job of the fake service that allows one retry. */
const newJob = (id: string, tasks: number): Job => createJob({ ...JOB_BASE, id, payloads: Array<string>(tasks).fill('p'), retries: 1 })

test('an endpoint that fails for one entry is also ejected by another entry that has sent nothing to it', async () => {
  const network = new FakeNetwork(2, 3)
  const [first, second] = network.entries
  const [failing] = network.agents
  network.deliverAll()
  for (let n = 0; failing!.running.length + network.starts.length < 40 && first!.failed.length < 3; n++) {
    first!.dispatcher.add(newJob(`j${n}`, 1))
    network.deliverAll()
    for (const agent of network.agents) {
      const end = agent === failing ? { outcome: TASK_OUTCOMES.failed, reason: 'endpoint_error' as const, body: '' } : DONE
      for (const task of agent.running.splice(0)) task.end(end)
    }
    await flush()
    network.clock.advance(50)
    network.deliverAll()
  }
  expect(second!.dispatcher.service('service')!.health.stateOf(failing!.id)).toBe('set_aside')
})

test('an agent has left only after every entry has acknowledged it; a start that arrives meanwhile is returned to its entry', async () => {
  const network = new FakeNetwork(2, 1)
  const [first, second] = network.entries
  const [agent] = network.agents
  network.deliverAll()
  second!.dispatcher.add(newJob('under-way', 1))
  network.runDeferred()
  agent!.host.leave()
  const session = network.latestSession(first!, agent!)!
  while (session.toEntry.length > 0) session.deliverToEntry()
  while (session.toAgent.length > 0) session.deliverToAgent()
  expect(agent!.host.isLeavingKnown).toBe(false)
  network.deliverAll()
  await flush()
  expect(agent!.host.isLeavingKnown).toBe(true)
  expect(network.starts).toEqual([])
  expect(second!.failed).toEqual([])
  expect(second!.dispatcher.queuedTotal).toBe(1)
})

test.each([
  { name: 'completes if the agent still has the first answer', maxAnswerSize: 10, complete: 1, failed: [] },
  { name: 'fails if the agent had to drop the first answer for lack of memory', maxAnswerSize: 3, complete: 0, failed: ['task_failed'] }
])('a job that was taken over $name', async ({ maxAnswerSize, complete, failed }) => {
  const network = new FakeNetwork(2, 1, maxAnswerSize)
  const [first, second] = network.entries
  first!.dispatcher.add(newJob('j', 2))
  network.deliverAll()
  for (const task of network.agents[0]!.running.splice(0)) {
    task.end(DONE)
    await flush()
  }
  second!.dispatcher.collect(createCollectedJob({ ...JOB_BASE, id: 'j' }, 2), 1000)
  network.deliverAll()
  expect(second!.complete).toHaveLength(complete)
  expect(second!.failed.map(({ reason }) => reason)).toEqual(failed)
})

describe('an entry whose session with an agent was interrupted', () => {
  test.each([
    { name: 'sends a start again that the agent does not know, if the session resumes within the resume window', interruptionMs: RESUME_WINDOW_MS - 500, failed: 0 },
    { name: 'fails the job of a start that the agent does not know, if the session resumes so late that the agent may have run and forgotten it', interruptionMs: MEMORY_MS + 1, failed: 1 }
  ])('$name', async ({ interruptionMs, failed }) => {
    const network = new FakeNetwork(1, 1)
    const [entry] = network.entries
    const [agent] = network.agents
    network.deliverAll()
    const job = newJob('j', 1)
    entry!.dispatcher.add(job)
    network.runDeferred()
    // The start is lost with its connection, and neither side notices until the session is opened again.
    const session = network.latestSession(entry!, agent!)!
    session.toAgent.length = 0
    const interruptedAt = network.clock.now()
    // The entry was paused and its timers are late: it has neither closed the session nor declared the agent lost.
    const advance = () => network.clock.advance(interruptionMs - (network.clock.now() - interruptedAt))
    advance()
    network.connect(entry!, agent!)
    network.deliverAll()
    await flush()
    expect(entry!.failed).toHaveLength(failed)
    expect(startsOf(network, job)).toHaveLength(1 - failed)
  })
})

describe('a failed task of a job that allows two retries', () => {
  test.each([
    { reason: 'endpoint_error' as const, unrepeatable: false, starts: 3 },
    { reason: 'endpoint_reset' as const, unrepeatable: false, starts: 1 },
    { reason: 'lease_expired' as const, unrepeatable: false, starts: 1 },
    { reason: 'endpoint_error' as const, unrepeatable: true, starts: 1 }
  ])('is started $starts time(s) in all if it fails with $reason (unrepeatable: $unrepeatable)', async ({ reason, unrepeatable, starts }) => {
    const network = new FakeNetwork(1, 1)
    network.deliverAll()
    network.entries[0]!.dispatcher.add(createJob({ ...JOB_BASE, id: 'j', payloads: ['p'], unrepeatable, retries: 2 }))
    for (let round = 0; round < 5; round++) {
      network.deliverAll()
      network.agents[0]!.running.shift()?.end({ outcome: TASK_OUTCOMES.failed, reason, body: '' })
      await flush()
    }
    expect(network.starts).toHaveLength(starts)
    expect(network.entries[0]!.failed).toHaveLength(1)
  })
})

type Action =
  | { type: 'deliver', entry: number, agent: number, toAgent: boolean }
  | { type: 'deliverLate', nth: number }
  | { type: 'cut' | 'connect', entry: number, agent: number }
  | { type: 'end', agent: number, fail: boolean }
  | { type: 'advance', ms: number }
  | { type: 'submit', entry: number, tasks: number }
  | { type: 'drop', entry: number, nth: number }
  | { type: 'takeOver', nth: number }
  | { type: 'restart', agent: number }

const ENTRIES = 2
const AGENTS = 2
const entryIndex = fc.integer({ min: 0, max: ENTRIES - 1 })
const agentIndex = fc.integer({ min: 0, max: AGENTS - 1 })
const pair = { entry: entryIndex, agent: agentIndex }

const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 12, arbitrary: fc.record({ type: fc.constant('deliver' as const), ...pair, toAgent: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('deliverLate' as const), nth: fc.nat(8) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constantFrom('cut' as const, 'connect' as const), ...pair }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('end' as const), agent: agentIndex, fail: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('advance' as const), ms: fc.constantFrom(10, 500, 1600, 3000, 70_000) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('submit' as const), entry: entryIndex, tasks: fc.integer({ min: 1, max: 4 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('drop' as const), entry: entryIndex, nth: fc.nat(5) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('takeOver' as const), nth: fc.nat(5) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), agent: agentIndex }) }
)

/** A network to which a sequence of actions is applied, and the jobs submitted to it. */
class Simulation {
  readonly network: FakeNetwork
  /** Jobs in the order of submission, with the index of the entry that owns each. */
  readonly jobs: { job: Job, entry: number }[] = []
  /** Jobs that were dropped while their entry would have reported that none of their tasks had run. */
  readonly reportedNotRun: Job[] = []

  constructor (agents = AGENTS) {
    this.network = new FakeNetwork(ENTRIES, agents)
  }

  async apply (action: Action): Promise<void> {
    const { network } = this
    switch (action.type) {
      case 'deliver': return this.deliver(action)
      case 'deliverLate': return network.replaced[action.nth]?.deliverToAgent()
      case 'cut': return network.latestSession(network.entries[action.entry]!, network.agents[action.agent]!)?.cut()
      case 'connect': return network.connect(network.entries[action.entry]!, network.agents[action.agent]!)
      case 'end': return this.end(action.agent, action.fail)
      case 'advance': return this.advance(action.ms)
      case 'submit': return this.submit(action.entry, action.tasks)
      case 'drop': return this.drop(action.nth)
      case 'takeOver': return this.takeOver(action.nth)
      case 'restart': return network.restartAgent(action.agent)
    }
  }

  private deliver ({ entry, agent, toAgent }: Extract<Action, { type: 'deliver' }>): void {
    const session = this.network.latestSession(this.network.entries[entry]!, this.network.agents[agent]!)
    if (session?.open !== true) return
    if (toAgent) session.deliverToAgent()
    else session.deliverToEntry()
    this.network.runDeferred()
  }

  private async end (agent: number, fail: boolean): Promise<void> {
    const task = this.network.agents[agent]!.running.shift()
    task?.end(fail ? { outcome: TASK_OUTCOMES.failed, reason: 'endpoint_error', body: '' } : DONE)
    await flush()
  }

  private advance (ms: number): void {
    this.network.clock.advance(ms)
    for (const { host } of this.network.agents) {
      host.sweep()
      host.keepAlive()
    }
    this.network.runDeferred()
  }

  private submit (entry: number, tasks: number): void {
    const job = newJob(`job-${this.jobs.length}`, tasks)
    this.jobs.push({ job, entry })
    this.network.entries[entry]!.dispatcher.add(job)
    this.network.runDeferred()
  }

  private drop (nth: number): void {
    const found = this.jobs[nth]
    if (found === undefined || found.job.collecting !== undefined) return
    if (found.job.mayHaveRun === 0) this.reportedNotRun.push(found.job)
    this.network.entries[found.entry]!.dispatcher.drop(found.job)
    this.network.runDeferred()
  }

  /** The other entry takes a job over, whether or not the owner is lost. */
  private takeOver (nth: number): void {
    const found = this.jobs[nth]
    if (found === undefined || found.job.collecting !== undefined) return
    const newOwner = 1 - found.entry
    const job = createCollectedJob({ ...JOB_BASE, id: found.job.id }, found.job.tasks.length)
    this.network.entries[newOwner]!.dispatcher.collect(job, JOB_BASE.deadlineAt)
    this.network.runDeferred()
  }
}

/**
 * Delivers all frames and ends all tasks, in enough rounds for every job to complete.
 *
 * @returns the keys of all complete jobs, sorted
 */
const completeAllJobs = async ({ network }: Simulation): Promise<string[]> => {
  for (let round = 0; round < 150; round++) {
    network.deliverAll()
    for (const { running } of network.agents) for (const task of running.splice(0)) task.end(DONE)
    await flush()
  }
  return network.entries.flatMap(({ complete }) => complete.map(({ key }) => key)).sort()
}

describe('with frames, session cuts, pauses, restarts and takeovers in any order', () => {
  test('no task is started twice, no job completes with a task missing, and no task of a job that was reported as not run has started', async () => {
    await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 150 }), async (actions) => {
      const simulation = new Simulation()
      simulation.network.deliverAll()
      for (const each of actions) await simulation.apply(each)
      simulation.network.deliverAll()
      await flush()
      expect(simulation.network.duplicateStarts).toEqual([])
      expect(simulation.network.violations).toEqual([])
      for (const job of simulation.reportedNotRun) expect(startsOf(simulation.network, job)).toEqual([])
      for (const { complete } of simulation.network.entries) {
        for (const job of complete) {
          expect(job.tasks.every(({ result }) => result === 'ok')).toBe(true)
          expect(new Set(startsOf(simulation.network, job).map((key) => key.split('#')[0])).size).toBe(job.tasks.length)
        }
      }
    }), { seed: 20261202, numRuns: 1500 })
  })

  test('without faults, every job completes in any order of frames', async () => {
    const faultless = action.filter(({ type }) => ['deliver', 'end', 'submit'].includes(type))
    await fc.assert(fc.asyncProperty(fc.array(faultless, { maxLength: 100 }), async (actions) => {
      const simulation = new Simulation()
      simulation.network.deliverAll()
      for (const each of actions) await simulation.apply(each.type === 'end' ? { ...each, fail: false } : each)
      expect(await completeAllJobs(simulation)).toEqual(simulation.jobs.map(({ job }) => job.key).sort())
    }), { seed: 20261202, numRuns: 300 })
  })

  test('entries that alternately need all slots get them in every round', async () => {
    const simulation = new Simulation(4)
    simulation.network.deliverAll()
    for (let round = 0; round < 20; round++) {
      await simulation.apply({ type: 'submit', entry: round % ENTRIES, tasks: round % ENTRIES === 0 ? 24 : 1 })
      expect(await completeAllJobs(simulation)).toEqual(simulation.jobs.map(({ job }) => job.key).sort())
    }
  })

  test('all jobs complete once every session is open again, if session cuts and late frames were the only faults', async () => {
    await fc.assert(fc.asyncProperty(fc.array(action.filter(({ type }) => !['drop', 'takeOver', 'restart', 'advance'].includes(type)), { maxLength: 80 }), async (actions) => {
      const simulation = new Simulation()
      simulation.network.deliverAll()
      for (const each of actions) await simulation.apply(each.type === 'end' ? { ...each, fail: false } : each)
      for (const entry of simulation.network.entries) for (const agent of simulation.network.agents) simulation.network.connect(entry, agent)
      expect(await completeAllJobs(simulation)).toEqual(simulation.jobs.map(({ job }) => job.key).sort())
      expect(simulation.network.duplicateStarts).toEqual([])
    }), { seed: 20261202, numRuns: 200 })
  })
})

test('a task key consists of workspace, submission and task, and of the attempt if it is not the first one', () => {
  expect(taskKey({ workspace: 'w', submission: 's', task: 3, attempt: 0 } as never)).toBe('w/s/3')
  expect(taskKey({ workspace: 'w', submission: 's', task: 3, attempt: 2 } as never)).toBe('w/s/3#2')
})
