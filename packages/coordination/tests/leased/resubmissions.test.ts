import { REASONS } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import type { LeasedJobs } from '../../src/index.js'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 400
const RUN_MS = 1000
/** Enough for the earlier runs to be confirmed terminated, and for a run after them. */
const SETTLE_MS = 4000

/** A network where the caller of a job has left and submits it again while its run is not confirmed terminated. */
const resubmit = async (callers: number): Promise<{ network: LeasedNetwork, jobs: LeasedJobs, leaves: Array<() => void> }> => {
  const network = new LeasedNetwork(1, 2)
  await network.advance(JOIN_MS)
  for (const endpoint of network.endpoints) endpoint.runMs = RUN_MS
  const { leave } = network.submit(0, 'j', 1, { estimateMs: RUN_MS })
  await network.advance(100)
  for (const agent of [0, 1]) network.cut(agent, 0, true)
  leave()
  await network.advance(5)
  network.jobEnds.clear()
  const leaves = Array.from({ length: callers }, () => network.submit(0, 'j', 1, { estimateMs: RUN_MS }).leave)
  return { network, jobs: network.entries[0]!.jobs, leaves }
}

const settle = async (network: LeasedNetwork): Promise<void> => {
  for (const agent of [0, 1]) network.cut(agent, 0, false)
  await network.advance(SETTLE_MS)
}

const failed = (reason: string): object => ({ type: 'failed', reason, message: expect.any(String) as string })

describe('a job that waits until its earlier runs are confirmed terminated', () => {
  const ends: Array<{ name: string, act: (jobs: LeasedJobs, leaves: Array<() => void>) => unknown, returned: unknown, end: object }> = [
    { name: 'its caller cancels it', act: (jobs) => jobs.cancel('w', 'j'), returned: true, end: failed(REASONS.cancelled) },
    { name: 'the entry stops', act: (jobs) => jobs.cutAll(), returned: ['w/j'], end: failed(REASONS.stopCut) },
    { name: 'all its callers leave', act: (_jobs, leaves) => leaves.forEach((leave) => leave()), returned: undefined, end: failed(REASONS.callerGone) }
  ]
  it.each(ends)('ends and does not run once $name', async ({ act, returned, end }) => {
    const { network, jobs, leaves } = await resubmit(2)
    const before = { size: jobs.size, state: jobs.stateOf('w', 'j') }
    const result = act(jobs, leaves)
    await network.advance(5)
    const after = { size: jobs.size, state: jobs.stateOf('w', 'j'), end: network.jobEnds.get('j') }
    await settle(network)
    expect({ before, result, after, done: network.endedStartCounts.get('done') ?? 0 }).toEqual({
      before: { size: 1, state: 'queued' }, result: returned, after: { size: 0, state: undefined, end }, done: 0
    })
  })

  const runs: Array<{ name: string, act: (network: LeasedNetwork, jobs: LeasedJobs, leaves: Array<() => void>) => void }> = [
    { name: 'nothing happens', act: () => {} },
    { name: 'one of two callers leaves twice', act: (_network, _jobs, [leave]) => { for (let times = 0; times < 2; times++) leave!() } },
    {
      name: 'it is cancelled and submitted again',
      act: (network, jobs) => {
        jobs.cancel('w', 'j')
        network.submit(0, 'j', 1, { estimateMs: RUN_MS })
      }
    }
  ]
  it.each(runs)('runs once after them if $name', async ({ act }) => {
    const { network, jobs, leaves } = await resubmit(2)
    act(network, jobs, leaves)
    await settle(network)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect({ size: jobs.size, done: network.endedStartCounts.get('done') }).toEqual({ size: 0, done: 1 })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('is cancelled if all its callers leave while it runs', async () => {
    const { network, jobs, leaves } = await resubmit(2)
    for (const agent of [0, 1]) network.cut(agent, 0, false)
    for (let waitedMs = 0; jobs.stateOf('w', 'j') !== 'running' && waitedMs < SETTLE_MS; waitedMs += 5) await network.advance(5)
    const state = jobs.stateOf('w', 'j')
    for (const leave of leaves) leave()
    await network.advance(SETTLE_MS)
    expect({ state, end: network.jobEnds.get('j'), done: network.endedStartCounts.get('done') ?? 0 }).toEqual({
      state: 'running', end: failed(REASONS.callerGone), done: 0
    })
  })
})
