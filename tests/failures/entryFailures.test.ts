import { setTimeout as sleep } from 'node:timers/promises'
import type { Cluster } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { ask, clusterRunner, startsOf, submit, submitUntilFinal, tasksOf } from '../support.js'

const withCluster = clusterRunner()

/** When the owner fails, seen from the job. */
const MOMENTS = [
  { name: 'while it claims', tasks: tasksOf(4, 100), holdMs: 400, afterMs: 150, states: ['complete', 'failed'] },
  { name: 'while all tasks run', tasks: tasksOf(10, 1500), holdMs: 0, afterMs: 400, states: ['complete'] },
  { name: 'while some tasks still wait', tasks: tasksOf(30, 700), holdMs: 0, afterMs: 400, states: ['failed'] },
  { name: 'as the answer is due', tasks: tasksOf(10, 300), holdMs: 0, afterMs: 300, states: ['complete'] }
]

const begin = async (cluster: Cluster, moment: typeof MOMENTS[number], unrepeatable: boolean) => {
  const job = { id: 'owned', tasks: moment.tasks, unrepeatable }
  await cluster.setPlatform({ holdWrites: moment.holdMs > 0 ? 1 : 0, holdMs: moment.holdMs })
  const first = submit(cluster, job, { entry: 0 })
  await sleep(moment.afterMs)
  return { job, first }
}

for (const unrepeatable of [false, true]) {
  test.each(MOMENTS)(`the owner is killed $name (unrepeatable: ${unrepeatable}): a resubmission is answered`, (moment) =>
    withCluster(async (cluster) => {
      const { job, first } = await begin(cluster, moment, unrepeatable)
      cluster.entries[0]!.kill('SIGKILL')
      const told = await submitUntilFinal(cluster, job, [1])
      expect(moment.states).toContain(told.state)
      if (told.state === 'complete') expect(told.results).toHaveLength(job.tasks.length)
      else expect(told).toMatchObject({ run: expect.stringMatching(/ran|may have run/), results: [] })
      expect((await first).status).toBe(0)
      expect(await ask(cluster, 'owned', { entry: 1 })).toMatchObject({ state: told.state, results: told.results })
    }))

  test.each(MOMENTS)(`the owner is frozen $name past every lease and wakes (unrepeatable: ${unrepeatable})`, (moment) =>
    withCluster(async (cluster) => {
      const { job, first } = await begin(cluster, moment, unrepeatable)
      cluster.entries[0]!.kill('SIGSTOP')
      const told = await submitUntilFinal(cluster, job, [1])
      const startedBefore = startsOf(cluster, 'owned')
      cluster.entries[0]!.kill('SIGCONT')
      const late = await first
      await cluster.waitForEndpoints(3)
      // Whatever the first caller hears now, no task may have begun after the takeover was answered.
      expect(startsOf(cluster, 'owned')).toEqual(startedBefore)
      expect(['complete', 'failed']).toContain(told.state)
      if (unrepeatable && late.status === 200) expect(late).toMatchObject({ state: told.state, reason: told.reason, results: told.results })
      if (unrepeatable) expect(await ask(cluster, 'owned', { entry: 0 })).toMatchObject({ state: told.state, results: told.results })
    }))
}

test('a killed entry that starts again answers for the jobs of its earlier process', () => withCluster(async (cluster) => {
  const job = { id: 'before', tasks: tasksOf(6, 800), unrepeatable: true }
  const first = submit(cluster, job)
  await sleep(300)
  const { api, session } = cluster.entries[0]!.startupInfo as { api: string, session: string }
  cluster.entries[0]!.kill('SIGKILL')
  await first
  cluster.entries[0] = await cluster.startEntry(0, { api, session })
  await cluster.waitForEndpoints(3)
  expect(await submitUntilFinal(cluster, job, [0])).toMatchObject({ state: 'complete' })
}))

test('owner and an agent die together: the job fails, and nothing runs again', () => withCluster(async (cluster) => {
  const job = { id: 'both', tasks: tasksOf(10, 1500) }
  const first = submit(cluster, job)
  await sleep(400)
  cluster.entries[0]!.kill('SIGKILL')
  cluster.workers[0]!.agent.kill('SIGKILL')
  await first
  const told = await submitUntilFinal(cluster, job, [1])
  expect(told).toMatchObject({ state: 'failed', reason: 'owner_lost', run: expect.stringMatching(/ran|may have run/) })
}))

test.each([
  { name: 'before it can take over', afterMs: 300 },
  { name: 'while it takes over', afterMs: 2600 }
])('the owner is killed, then the entry asked next, $name: the third one answers, and nothing runs again', ({ afterMs }) =>
  withCluster(async (cluster) => {
    const job = { id: 'twice', tasks: tasksOf(6, 3000), unrepeatable: true }
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
