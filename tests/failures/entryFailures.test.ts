import { setTimeout as sleep } from 'node:timers/promises'
import type { Cluster } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { clusterRunner, createTasks, getJob, startsOf, submit, submitUntilFinal } from '../support.js'

const withCluster = clusterRunner()

/** Keys of claim rows begin with this. */
const CLAIM_PREFIX = 'claim/'

/** Moments in a job's life at which its owner fails, and the final states that are allowed then. */
const MOMENTS = [
  { name: 'while it claims', tasks: createTasks(4, 100), holdMs: 400, afterMs: 150, states: ['complete', 'failed'] },
  { name: 'while all tasks run', tasks: createTasks(10, 1500), holdMs: 0, afterMs: 400, states: ['complete'] },
  { name: 'while some tasks still wait', tasks: createTasks(30, 700), holdMs: 0, afterMs: 400, states: ['failed'] },
  { name: 'when the answer is due', tasks: createTasks(10, 300), holdMs: 0, afterMs: 300, states: ['complete'] }
]

const submitUntilMoment = async (cluster: Cluster, moment: typeof MOMENTS[number], unrepeatable: boolean) => {
  const job = { id: 'owned', tasks: moment.tasks, unrepeatable }
  await cluster.setPlatform({ holdWrites: moment.holdMs > 0 ? 1 : 0, holdPrefix: CLAIM_PREFIX, holdMs: moment.holdMs })
  const first = submit(cluster, job, { entry: 0 })
  await sleep(moment.afterMs)
  return { job, first }
}

for (const unrepeatable of [false, true]) {
  test.each(MOMENTS)(`a resubmission is answered if the owner is killed $name (unrepeatable: ${unrepeatable})`, (moment) =>
    withCluster(async (cluster) => {
      const { job, first } = await submitUntilMoment(cluster, moment, unrepeatable)
      cluster.entries[0]!.kill('SIGKILL')
      const reply = await submitUntilFinal(cluster, job, [1])
      expect(moment.states).toContain(reply.state)
      if (reply.state === 'complete') expect(reply.results).toHaveLength(job.tasks.length)
      else expect(reply).toMatchObject({ run: expect.stringMatching(/ran|may have run/), results: [] })
      expect((await first).status).toBe(0)
      expect(await getJob(cluster, 'owned', { entry: 1 })).toMatchObject({ state: reply.state, results: reply.results })
    }))

  test.each(MOMENTS)(`no task starts after a takeover if the owner is suspended $name past every lease and resumes (unrepeatable: ${unrepeatable})`, (moment) =>
    withCluster(async (cluster) => {
      const { job, first } = await submitUntilMoment(cluster, moment, unrepeatable)
      cluster.entries[0]!.kill('SIGSTOP')
      const reply = await submitUntilFinal(cluster, job, [1])
      const startedBefore = startsOf(cluster, 'owned')
      cluster.entries[0]!.kill('SIGCONT')
      const late = await first
      await cluster.waitForEndpoints(3)
      // No task may have started after the takeover was answered, whatever the first caller receives now.
      expect(startsOf(cluster, 'owned')).toEqual(startedBefore)
      expect(['complete', 'failed']).toContain(reply.state)
      if (unrepeatable && late.status === 200) expect(late).toMatchObject({ state: reply.state, reason: reply.reason, results: reply.results })
      if (unrepeatable) expect(await getJob(cluster, 'owned', { entry: 0 })).toMatchObject({ state: reply.state, results: reply.results })
    }))
}

test('a killed entry that restarts answers for the jobs of its earlier incarnation', () => withCluster(async (cluster) => {
  const job = { id: 'before', tasks: createTasks(6, 800), unrepeatable: true }
  const first = submit(cluster, job)
  await sleep(300)
  const { api, session } = cluster.entries[0]!.startupInfo as { api: string, session: string }
  cluster.entries[0]!.kill('SIGKILL')
  await first
  cluster.entries[0] = await cluster.startEntry(0, { api, session })
  await cluster.waitForEndpoints(3)
  expect(await submitUntilFinal(cluster, job, [0])).toMatchObject({ state: 'complete' })
}))

test('a job fails with owner_lost and no task runs again if its owner and an agent are killed together', () => withCluster(async (cluster) => {
  const job = { id: 'both', tasks: createTasks(10, 1500) }
  const first = submit(cluster, job)
  await sleep(400)
  cluster.entries[0]!.kill('SIGKILL')
  cluster.workers[0]!.agent.kill('SIGKILL')
  await first
  const reply = await submitUntilFinal(cluster, job, [1])
  expect(reply).toMatchObject({ state: 'failed', reason: 'owner_lost', run: expect.stringMatching(/ran|may have run/) })
}))

test.each([
  { name: 'before it can take over', afterMs: 300 },
  { name: 'while it takes over', afterMs: 2600 }
])('a third entry answers and no task runs again if the owner is killed and then a second entry $name', ({ afterMs }) =>
  withCluster(async (cluster) => {
    const job = { id: 'twice', tasks: createTasks(6, 3000), unrepeatable: true }
    const first = submit(cluster, job, { entry: 0 })
    await sleep(400)
    cluster.entries[0]!.kill('SIGKILL')
    const second = submit(cluster, job, { entry: 1 })
    await sleep(afterMs)
    cluster.entries[1]!.kill('SIGKILL')
    expect([(await first).status, (await second).status]).toEqual([0, 0])
    expect(await submitUntilFinal(cluster, job, [2])).toMatchObject({ state: 'complete', run: 'ran' })
    expect(startsOf(cluster, 'twice')).toHaveLength(6)
  }, { entries: 3 }))
