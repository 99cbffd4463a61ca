import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { ask, clusterRunner, startsOf, submit, submitUntilFinal, tasksOf } from '../support.js'

const withCluster = clusterRunner({ relays: true })

const AWAY = [{ mode: 'refuse' as const }, { mode: 'hang' as const }]

/** As by default, a claim is given up long before a view of the entries is old. */
const PATIENT = { entryArgs: ['--stale-after-ms', '6000'] }

test.each(AWAY)('the table is away ($mode): new submissions are refused as not run, claimed jobs run on, and it recovers', ({ mode }) =>
  withCluster(async (cluster) => {
    const claimed = submit(cluster, { id: 'claimed', tasks: tasksOf(24, 400) })
    await sleep(200)
    await cluster.setPlatform({ mode })
    const refused = await submit(cluster, { id: 'new' })
    expect(refused).toMatchObject({ status: 503, reason: 'store_down', run: 'not run' })
    expect(refused.retryAfterMs).toBeGreaterThan(0)
    expect(await claimed).toMatchObject({ state: 'complete' })
    expect(startsOf(cluster, 'new')).toEqual([])
    await cluster.setPlatform({ mode: 'ok' })
    expect(await submitUntilFinal(cluster, { id: 'new' }, [0, 1])).toMatchObject({ state: 'complete' })
    expect(startsOf(cluster, 'new')).toHaveLength(1)
  }, PATIENT))

test.each(AWAY)('the table is away ($mode) for long: "not run" is said only of a first attempt', ({ mode }) => withCluster(async (cluster) => {
  await cluster.setPlatform({ mode })
  await sleep(2500)
  expect(await submit(cluster, { id: 'perhaps-again' })).toMatchObject({ status: 503, run: 'may have run' })
  const first = await submit(cluster, { id: 'first', firstAttempt: true })
  expect(first).toMatchObject({ status: 503, reason: 'store_down', run: 'not run' })
  expect(first.retryAfterMs).toBeGreaterThan(0)
}))

test.each(AWAY)('the table is away ($mode): a resubmission at the other entry finds the job in its owner\'s memory', ({ mode }) =>
  withCluster(async (cluster) => {
    const job = { id: 'known', tasks: tasksOf(3, 50) }
    const first = await submit(cluster, job, { entry: 0 })
    await cluster.setPlatform({ mode })
    await sleep(1200)
    const told = await submit(cluster, job, { entry: 1 })
    expect(told).toMatchObject({ status: 200, state: 'complete', results: first.results })
    expect(await submit(cluster, { ...job, tasks: tasksOf(4, 50) }, { entry: 1 })).toMatchObject({ status: 409 })
  }))

test('the table is away and an entry was lost: a refusal does not claim "not run"', () => withCluster(async (cluster) => {
  const job = { id: 'ran-before', tasks: tasksOf(3, 50) }
  await submit(cluster, job, { entry: 0 })
  cluster.entries[0]!.kill('SIGKILL')
  await cluster.setPlatform({ mode: 'refuse' })
  await sleep(1500)
  expect(await submit(cluster, job, { entry: 1 })).toMatchObject({ status: 503, run: 'may have run' })
}))

test('the acknowledgement of a claim is lost: the job runs once', () => withCluster(async (cluster) => {
  await cluster.setPlatform({ loseAcks: 6 })
  const jobs = Array.from({ length: 12 }, (_, n) => ({ id: `lost-ack-${n}`, tasks: tasksOf(2, 30) }))
  const told = await Promise.all(jobs.flatMap((job) => [0, 1].map((entry) => submit(cluster, job, { entry }))))
  for (const { state } of told) expect(state).toBe('complete')
  expect(cluster.startedKeys()).toHaveLength(24)
}))

test('a claim lands after its entry gave up on it: refused as not run, it runs when submitted again, at either entry', () =>
  withCluster(async (cluster) => {
    for (const entry of [0, 1]) {
      const job = { id: `held-${entry}`, tasks: tasksOf(2, 30) }
      await cluster.setPlatform({ holdWrites: 20, holdMs: 2500 })
      const refused = await submit(cluster, job, { entry: 0 })
      expect(refused).toMatchObject({ status: 503, reason: 'store_down', run: 'not run' })
      await cluster.setPlatform({ holdWrites: 0, holdMs: 0 })
      await sleep(3000)
      expect(startsOf(cluster, job.id)).toEqual([])
      expect(await submitUntilFinal(cluster, job, [entry])).toMatchObject({ state: 'complete' })
      expect(startsOf(cluster, job.id)).toHaveLength(2)
    }
  }))

test('the table is slow: jobs complete', () => withCluster(async (cluster) => {
  await cluster.setPlatform({ writeMs: 300, readMs: 200 })
  const told = await Promise.all([0, 1, 0, 1].map((entry, n) => submit(cluster, { id: `slow-${n}`, tasks: tasksOf(5, 50) }, { entry })))
  for (const { state } of told) expect(state).toBe('complete')
}))

test('connections to the table are cut at every moment: each job runs once', () => withCluster(async (cluster) => {
  const jobs = Array.from({ length: 60 }, (_, n) => ({ id: `cut-${n}`, tasks: tasksOf(2, 20), unrepeatable: n % 2 === 0 }))
  const told = jobs.map(async (job, n) => {
    await sleep(n * 30)
    return submitUntilFinal(cluster, job, [n % 2, (n + 1) % 2])
  })
  for (let round = 0; round < 25; round++) {
    await sleep(80)
    cluster.relays.platform!.cut()
  }
  for (const { state } of await Promise.all(told)) expect(state).toBe('complete')
  expect(cluster.startedKeys()).toHaveLength(120)
}))

test('an unrepeatable job ends while the table is away: nobody is told until its state is saved', () => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'booking', tasks: tasksOf(2, 600), unrepeatable: true })
  await sleep(250)
  await cluster.setPlatform({ mode: 'refuse' })
  expect(await told).toMatchObject({ status: 503, reason: 'answer_unsaved' })
  await cluster.setPlatform({ mode: 'ok' })
  const first = await submitUntilFinal(cluster, { id: 'booking', tasks: tasksOf(2, 600), unrepeatable: true }, [0])
  expect(first).toMatchObject({ state: 'complete' })
  cluster.entries[0]!.kill('SIGKILL')
  expect(await ask(cluster, 'booking', { entry: 1 })).toMatchObject({ state: 'complete', results: first.results })
}))

test('table away and owner killed together: after both, the resubmission is answered and nothing ran twice', () => withCluster(async (cluster) => {
  const job = { id: 'together', tasks: tasksOf(6, 700), unrepeatable: true }
  const first = submit(cluster, job, { entry: 0 })
  await sleep(300)
  await cluster.setPlatform({ mode: 'hang' })
  cluster.entries[0]!.kill('SIGKILL')
  await first
  const during = await submit(cluster, job, { entry: 1, waitMs: 1000 })
  expect(during.run).not.toBe('not run')
  await cluster.setPlatform({ mode: 'ok' })
  expect(await submitUntilFinal(cluster, job, [1])).toMatchObject({ state: 'complete' })
}))

test('a large answer is kept in the object store and given by another entry', () => withCluster(async (cluster) => {
  const tasks = [{ payload: JSON.stringify({ ms: 10, bytes: 60_000 }) }]
  const first = await submit(cluster, { id: 'large', tasks, unrepeatable: true })
  expect(first.results[0]!.length).toBeGreaterThan(60_000)
  cluster.entries[0]!.kill('SIGKILL')
  expect(await ask(cluster, 'large', { entry: 1 })).toMatchObject({ state: 'complete', results: first.results })
}))

test('heartbeats are held past the stale time while all entries live: a refusal still says "not run"', () => withCluster(async (cluster) => {
  await cluster.setPlatform({ holdWrites: 1000, holdMs: 15_000 })
  await sleep(7000)
  expect(await submit(cluster, { id: 'held-long' })).toMatchObject({ status: 503, reason: 'store_down', run: 'not run' })
}))

const ENDS = [
  { how: 'stops gracefully', signal: 'SIGTERM', again: false },
  { how: 'is killed and starts again at its old address', signal: 'SIGKILL', again: true }
] as const

test.each(ENDS)('an entry $how, then the table is away: a refusal elsewhere does not say "not run" of its job', ({ signal, again }) =>
  withCluster(async (cluster) => {
    const job = { id: 'ran-there', tasks: tasksOf(3, 50) }
    expect(await submit(cluster, job, { entry: 0 })).toMatchObject({ state: 'complete' })
    const { api, session } = cluster.entries[0]!.startupInfo as { api: string, session: string }
    if (again) await cluster.setPlatform({ mode: 'refuse' })
    cluster.entries[0]!.kill(signal)
    await cluster.entries[0]!.exited
    await sleep(again ? 0 : 1000)
    await cluster.setPlatform({ mode: 'refuse' })
    if (again) cluster.entries[0] = await cluster.startEntry(0, { api, session })
    const told = await submit(cluster, job, { entry: 1 })
    if (told.status !== 200) expect(told).toMatchObject({ run: 'may have run' })
  }))

test('an entry is cut off from the table while another one joins and runs the job: the first does not say "not run"', () =>
  withCluster(async (cluster) => {
    const job = { id: 'ran-at-the-new-one', tasks: tasksOf(3, 50) }
    cluster.entries.push(await cluster.startEntry(2, undefined, { platform: 'direct' }))
    await cluster.waitForEndpoints(3)
    cluster.relays.platform!.sever()
    cluster.entries.push(await cluster.startEntry(3, undefined, { platform: 'direct' }))
    expect(await submitUntilFinal(cluster, job, [3])).toMatchObject({ state: 'complete' })
    const told = await submit(cluster, job, { entry: 1 })
    if (told.status !== 200) expect(told).toMatchObject({ run: 'may have run' })
  }))

test('the table goes away twice, first while a job is claimed and then while it ends: one answer, and each task once', () =>
  withCluster(async (cluster) => {
    const job = { id: 'two-outages', tasks: tasksOf(4, 800), unrepeatable: true }
    await cluster.setPlatform({ mode: 'hang' })
    await submit(cluster, job, { entry: 0 })
    await cluster.setPlatform({ mode: 'ok' })
    const told = submitUntilFinal(cluster, job, [0, 1])
    await cluster.waitUntil('the job runs', () => startsOf(cluster, job.id).length === 4)
    await cluster.setPlatform({ mode: 'refuse' })
    await sleep(1500)
    await cluster.setPlatform({ mode: 'ok' })
    const answer = await told
    expect(answer).toMatchObject({ state: 'complete' })
    expect(startsOf(cluster, job.id)).toHaveLength(4)
    expect(await ask(cluster, job.id, { entry: 1 })).toMatchObject({ state: 'complete', results: answer.results })
  }))
