import { describe, expect, it } from 'vitest'
import { TASK_OUTCOMES } from '@hazellift/protocol'
import { createCollectedJob, createJob } from '../src/index.js'
import type { Job } from '../src/index.js'
import { FakeNetwork, JOB_BASE } from './fakeNetwork.js'
import type { FakeEntry } from './fakeNetwork.js'

const DONE = { outcome: TASK_OUTCOMES.done, reason: '' as const, body: 'ok' }
/** Shorter than the time that a takeover waits for agents. */
const SHORT_MS = 500
/** Longer than the time that a takeover waits for agents, and shorter than the resume window. */
const LONG_MS = 1100

/** Waits until the callbacks of ended attempts have run. */
const flush = () => new Promise<void>((resolve) => setImmediate(resolve))

const newJob = (tasks: number): Job => createJob({ ...JOB_BASE, id: 'j', payloads: Array<string>(tasks).fill('p') })
const collectedJob = (tasks: number): Job => createCollectedJob({ ...JOB_BASE, id: 'j' }, tasks)

/** Starts a job at entry 0, so that each of its tasks runs. */
const startJob = (agents: number, tasks: number): { network: FakeNetwork, job: Job } => {
  const network = new FakeNetwork(2, agents)
  network.deliverAll()
  const job = newJob(tasks)
  network.entries[0]!.dispatcher.add(job)
  network.deliverAll()
  expect(network.starts).toHaveLength(tasks)
  return { network, job }
}

const sessionOf = (network: FakeNetwork, entry: number, agent: number) =>
  network.latestSession(network.entries[entry]!, network.agents[agent]!)!
const cut = (network: FakeNetwork, entry: number, agent: number): void => sessionOf(network, entry, agent).cut()
const open = (network: FakeNetwork, entry: number, agent: number): void => network.connect(network.entries[entry]!, network.agents[agent]!)

/** Delivers all frames and ends all tasks that run. */
const endAll = async (network: FakeNetwork): Promise<void> => {
  network.deliverAll()
  for (const { running } of network.agents) for (const task of running.splice(0)) task.end(DONE)
  await flush()
  network.deliverAll()
}

const busy = async (network: FakeNetwork): Promise<number[]> => {
  network.deliverAll()
  await flush()
  return network.agents.map(({ host }) => host.busy)
}

describe('a request to end the tasks of a job, lost with its session', () => {
  const losses: Array<{ name: string, act: (network: FakeNetwork, drop: () => void) => void }> = [
    { name: 'no session is open', act: (network, drop) => { cut(network, 0, 0); drop() } },
    { name: 'the session ends before the frame arrives', act: (network, drop) => { drop(); cut(network, 0, 0) } },
    { name: 'the session is replaced, and the frame arrives late', act: (network, drop) => { drop(); open(network, 0, 0); network.replaced.at(-1)!.deliverToAgent() } },
    {
      name: 'the session is replaced before the agent has listed its tasks',
      act: (network, drop) => { open(network, 0, 0); sessionOf(network, 0, 0).deliverToEntry(); drop(); cut(network, 0, 0) }
    }
  ]
  it.each(losses)('$name: the run ends with the next session', async ({ act }) => {
    const { network, job } = startJob(1, 1)
    act(network, () => network.entries[0]!.dispatcher.drop(job))
    open(network, 0, 0)
    expect(await busy(network)).toEqual([0])
  })
})

describe('a job that was taken over', () => {
  const losses: Array<{ name: string, act: (network: FakeNetwork, collect: () => void) => void }> = [
    {
      name: 'the question is lost with its session',
      act: (network, collect) => {
        collect()
        cut(network, 1, 0)
      }
    },
    {
      name: 'the question is lost with its session while the other agent answers',
      act: (network, collect) => {
        collect()
        cut(network, 1, 0)
        network.deliverAll()
      }
    },
    {
      name: 'no session with one of the agents is open',
      act: (network, collect) => {
        cut(network, 1, 0)
        collect()
        network.deliverAll()
      }
    },
    {
      name: 'no session is open',
      act: (network, collect) => {
        for (const agent of [0, 1]) cut(network, 1, agent)
        collect()
      }
    },
    {
      name: 'the session is replaced while the question is in transit, which arrives late',
      act: (network, collect) => {
        collect()
        open(network, 1, 0)
        network.replaced.at(-1)!.deliverToAgent()
      }
    },
    {
      name: 'the reply is lost with its session',
      act: (network, collect) => {
        collect()
        const session = sessionOf(network, 1, 0)
        while (session.toAgent.length > 0) session.deliverToAgent()
        session.cut()
      }
    }
  ]
  const cases = losses.flatMap((loss) => [0, LONG_MS].map((runMs) => ({ ...loss, runMs })))
  // The results are there, and each agent can be asked in time.
  it.each(cases)('completes if $name, sessions open again soon, and tasks run for $runMs ms more', async ({ act, runMs }) => {
    const { network } = startJob(2, 4)
    const [, taker] = network.entries
    act(network, () => taker!.dispatcher.collect(collectedJob(4), JOB_BASE.deadlineAt))
    network.clock.advance(SHORT_MS)
    for (const agent of [0, 1]) if (!sessionOf(network, 1, agent).open) open(network, 1, agent)
    network.deliverAll()
    network.clock.advance(runMs)
    await endAll(network)
    expect(taker!.failed.map(({ reason }) => reason)).toEqual([])
    expect(taker!.complete).toHaveLength(1)
  })

  it('completes if agents become known to its new owner one by one after the takeover', async () => {
    const { network } = startJob(2, 4)
    const taker = network.addEntry()
    taker.dispatcher.collect(collectedJob(4), JOB_BASE.deadlineAt)
    for (const agent of network.agents) {
      network.clock.advance(SHORT_MS / 2)
      network.connect(taker, agent)
      network.deliverAll()
    }
    network.clock.advance(LONG_MS)
    await endAll(network)
    expect(taker.failed.map(({ reason }) => reason)).toEqual([])
    expect(taker.complete).toHaveLength(1)
  })

  it('fails, once its time is over, if an agent with tasks of it cannot be asked', async () => {
    const { network } = startJob(2, 4)
    const [, taker] = network.entries
    cut(network, 1, 0)
    taker!.dispatcher.collect(collectedJob(4), JOB_BASE.deadlineAt)
    network.deliverAll()
    expect(taker!.failed).toEqual([])
    network.clock.advance(LONG_MS)
    expect(taker!.failed.map(({ reason }) => reason)).toEqual(['owner_lost'])
  })
})

describe('a job that ends at its new owner while agents are asked about it', () => {
  const ends: Array<{ name: string, act: (network: FakeNetwork, taker: FakeEntry, job: Job) => void }> = [
    { name: 'it is cancelled', act: (_network, taker, job) => taker.dispatcher.drop(job) },
    {
      name: 'its time is over before a late reply',
      act: (network) => {
        network.clock.advance(LONG_MS)
      }
    },
    {
      name: 'it is cancelled, and the reply is lost with its session',
      act: (network, taker, job) => {
        taker.dispatcher.drop(job)
        const session = sessionOf(network, 1, 0)
        while (session.toAgent.length > 0) session.deliverToAgent()
        open(network, 1, 0)
      }
    }
  ]
  it.each(ends)('has no run afterwards: $name', async ({ act }) => {
    const { network } = startJob(1, 2)
    const [, taker] = network.entries
    const job = collectedJob(2)
    taker!.dispatcher.collect(job, JOB_BASE.deadlineAt)
    act(network, taker!, job)
    expect(await busy(network)).toEqual([0])
  })
})

describe('an entry that has learned that another one took its job over', () => {
  /** Runs of the job at both agents; the new owner has reached agent 1 only. */
  const startTakeover = async (): Promise<FakeNetwork> => {
    const { network } = startJob(2, 4)
    const [first, taker] = network.entries
    cut(network, 1, 0)
    taker!.dispatcher.collect(collectedJob(4), JOB_BASE.deadlineAt)
    network.deliverAll()
    expect(first!.takenOver).not.toEqual([])
    return network
  }

  it('leaves its runs to the new owner, also on a new session with an agent that was not asked yet', async () => {
    const network = await startTakeover()
    open(network, 0, 0)
    expect(await busy(network)).toEqual([2, 2])
    open(network, 1, 0)
    await endAll(network)
    expect(network.entries[1]!.failed.map(({ reason }) => reason)).toEqual([])
    expect(network.entries[1]!.complete).toHaveLength(1)
  })

  it('starts no task of it elsewhere that had been accepted and waited for a slot', async () => {
    const network = new FakeNetwork(3, 2)
    const [busyEntry, first, taker] = network.entries
    for (const entry of [0, 1, 2]) cut(network, entry, 1)
    network.deliverAll()
    busyEntry!.dispatcher.add(createJob({ ...JOB_BASE, id: 'other', payloads: ['p', 'p'] }))
    network.deliverAll()
    // The entry does not know yet that the slots are busy.
    first!.dispatcher.knownAgents[0]!.freeSlots = 1
    first!.dispatcher.add(newJob(1))
    network.deliverAll()
    expect(network.agents[0]!.host.busy).toBe(3)
    open(network, 1, 1)
    taker!.dispatcher.collect(collectedJob(1), JOB_BASE.deadlineAt)
    network.deliverAll()
    await endAll(network)
    await endAll(network)
    expect(network.starts.filter((key) => key.startsWith('w/j/'))).toEqual([])
  })

  it('ends its runs if it takes the job over in turn, and the job ends', async () => {
    const network = await startTakeover()
    const [first] = network.entries
    const job = collectedJob(4)
    first!.dispatcher.collect(job, JOB_BASE.deadlineAt)
    network.deliverAll()
    cut(network, 0, 0)
    first!.dispatcher.drop(job)
    open(network, 0, 0)
    expect(await busy(network)).toEqual([0, 0])
  })
})

describe('state that is sent once on a session', () => {
  const drain = (frames: unknown[], deliver: () => void): void => { while (frames.length > 0) deliver() }
  const toAgent = (network: FakeNetwork): void => {
    const session = sessionOf(network, 0, 0)
    drain(session.toAgent, () => session.deliverToAgent())
  }
  const toEntry = (network: FakeNetwork): void => {
    const session = sessionOf(network, 0, 0)
    drain(session.toEntry, () => session.deliverToEntry())
  }

  const leaves: Array<{ name: string, act: (network: FakeNetwork) => void }> = [
    { name: 'the agent\'s frame is lost', act: () => {} },
    { name: 'the entry\'s reply is lost', act: toEntry }
  ]
  it.each(leaves)('an agent leaves, and $name: both know of it with the next session, and nothing starts', async ({ act }) => {
    const network = new FakeNetwork(1, 1)
    network.deliverAll()
    network.agents[0]!.host.leave()
    act(network)
    open(network, 0, 0)
    expect(network.agents[0]!.host.isLeavingKnown).toBe(false)
    network.entries[0]!.dispatcher.add(newJob(1))
    expect(await busy(network)).toEqual([0])
    expect(network.agents[0]!.host.isLeavingKnown).toBe(true)
    expect(network.starts).toEqual([])
  })

  it('a result whose acknowledgement is lost counts once, and is acknowledged on the next session', async () => {
    const { network } = startJob(1, 1)
    for (const task of network.agents[0]!.running.splice(0)) task.end(DONE)
    await flush()
    toEntry(network)
    expect(network.entries[0]!.complete).toHaveLength(1)
    expect(network.agents[0]!.host.unacked).toBe(1)
    open(network, 0, 0)
    network.deliverAll()
    network.entries[0]!.dispatcher.add(createJob({ ...JOB_BASE, id: 'next', payloads: ['p'] }))
    network.deliverAll()
    expect(network.agents[0]!.host.unacked).toBe(0)
    expect(network.entries[0]!.complete).toHaveLength(1)
  })

  const losses: Array<{ name: string, act: (network: FakeNetwork, job: Job) => void }> = [
    { name: 'granted', act: () => {} },
    {
      name: 'returned',
      act: (network, job) => {
        toEntry(network)
        network.entries[0]!.dispatcher.drop(job)
        network.runDeferred()
        expect(sessionOf(network, 0, 0).toAgent.some(({ returnedCredits }) => returnedCredits > 0)).toBe(true)
      }
    }
  ]
  // The credits on demand reserve both slots.
  it.each(losses)('credits that are lost while they are $name reserve no slot', async ({ act }) => {
    const network = new FakeNetwork(2, 1)
    network.deliverAll()
    const many = createJob({ ...JOB_BASE, id: 'many', payloads: ['p', 'p', 'p', 'p'] })
    network.entries[0]!.dispatcher.add(many)
    network.runDeferred()
    toAgent(network)
    for (const task of network.agents[0]!.running.splice(0)) task.end(DONE)
    await flush()
    act(network, many)
    cut(network, 0, 0)
    network.entries[1]!.dispatcher.add(newJob(2))
    network.deliverAll()
    expect(network.starts).toEqual(['w/many/0', 'w/j/0', 'w/j/1'])
  })
})
