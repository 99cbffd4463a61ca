import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { cancel, clusterRunner, createTasks, getJob, startsOf, submit, submitUntilFinal } from '../support.js'

const withCluster = clusterRunner({ relays: true })

const OUTAGE_MODES = [{ mode: 'refuse' as const }, { mode: 'hang' as const }]

/** As with the default settings, a claim times out long before the view of the entries becomes stale. */
const LONG_STALE_TIME = { entryArgs: ['--stale-after-ms', '6000'] }

test.each(OUTAGE_MODES)('during a table outage ($mode) new submissions are refused as not run and claimed jobs complete; afterwards submissions are accepted', ({ mode }) =>
  withCluster(async (cluster) => {
    const claimed = submit(cluster, { id: 'claimed', tasks: createTasks(24, 400) })
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
  }, LONG_STALE_TIME))

test.each(OUTAGE_MODES)('during a long table outage ($mode) a refusal says "not run" only for a first attempt', ({ mode }) => withCluster(async (cluster) => {
  await cluster.setPlatform({ mode })
  await sleep(2500)
  expect(await submit(cluster, { id: 'perhaps-again' })).toMatchObject({ status: 503, run: 'may have run' })
  const first = await submit(cluster, { id: 'first', firstAttempt: true })
  expect(first).toMatchObject({ status: 503, reason: 'store_down', run: 'not run' })
  expect(first.retryAfterMs).toBeGreaterThan(0)
}))

test.each(OUTAGE_MODES)('during a table outage ($mode) a resubmission at the other entry gets the answer from the owner\'s memory', ({ mode }) =>
  withCluster(async (cluster) => {
    const job = { id: 'known', tasks: createTasks(3, 50) }
    const first = await submit(cluster, job, { entry: 0 })
    await cluster.setPlatform({ mode })
    await sleep(1200)
    const reply = await submit(cluster, job, { entry: 1 })
    expect(reply).toMatchObject({ status: 200, state: 'complete', results: first.results })
    expect(await submit(cluster, { ...job, tasks: createTasks(4, 50) }, { entry: 1 })).toMatchObject({ status: 409 })
  }))

const SHORT_IMPAIRMENTS = [
  { name: 'reads time out', faults: { readMs: 700 }, restored: { readMs: 1 } },
  { name: 'calls are refused', faults: { mode: 'refuse' as const }, restored: { mode: 'ok' as const } },
  { name: 'calls hang', faults: { mode: 'hang' as const }, restored: { mode: 'ok' as const } }
]

// Guards against a cancellation that is refused, and not carried out, because one read of the table failed.
test.each(SHORT_IMPAIRMENTS)('a job is cancelled at another entry than its owner while the table is impaired ($name)', ({ faults, restored }) =>
  withCluster(async (cluster) => {
    await submit(cluster, { id: 'unwanted', tasks: createTasks(6, 2000) }, { waitMs: 0 })
    await cluster.setPlatform(faults)
    const reply = await cancel(cluster, 'unwanted', { entry: 1 })
    await cluster.setPlatform(restored)
    expect(reply).toMatchObject({ status: 200, state: 'failed', reason: 'cancelled' })
    expect(await getJob(cluster, 'unwanted')).toMatchObject({ status: 200, reason: 'cancelled' })
  }))

test('a refusal does not say "not run" if an entry was lost and the table is unreachable', () => withCluster(async (cluster) => {
  const job = { id: 'ran-before', tasks: createTasks(3, 50) }
  await submit(cluster, job, { entry: 0 })
  cluster.entries[0]!.kill('SIGKILL')
  await cluster.setPlatform({ mode: 'refuse' })
  await sleep(1500)
  expect(await submit(cluster, job, { entry: 1 })).toMatchObject({ status: 503, run: 'may have run' })
}))

test('a job runs once if the acknowledgement of its claim is lost', () => withCluster(async (cluster) => {
  await cluster.setPlatform({ loseAcks: 6 })
  const jobs = Array.from({ length: 12 }, (_, n) => ({ id: `lost-ack-${n}`, tasks: createTasks(2, 30) }))
  const replies = await Promise.all(jobs.flatMap((job) => [0, 1].map((entry) => submit(cluster, job, { entry }))))
  for (const { state } of replies) expect(state).toBe('complete')
  expect(cluster.startedKeys()).toHaveLength(24)
}))

test('a job whose claim is written after the claim timeout is refused as not run and runs when submitted again at either entry', () =>
  withCluster(async (cluster) => {
    for (const entry of [0, 1]) {
      const job = { id: `held-${entry}`, tasks: createTasks(2, 30) }
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

test('jobs complete if the table is slow', () => withCluster(async (cluster) => {
  await cluster.setPlatform({ writeMs: 300, readMs: 200 })
  const replies = await Promise.all([0, 1, 0, 1].map((entry, n) => submit(cluster, { id: `slow-${n}`, tasks: createTasks(5, 50) }, { entry })))
  for (const { state } of replies) expect(state).toBe('complete')
}))

test('each job runs once if connections to the table are cut repeatedly', () => withCluster(async (cluster) => {
  const jobs = Array.from({ length: 60 }, (_, n) => ({ id: `cut-${n}`, tasks: createTasks(2, 20), unrepeatable: n % 2 === 0 }))
  const replies = jobs.map(async (job, n) => {
    await sleep(n * 30)
    return submitUntilFinal(cluster, job, [n % 2, (n + 1) % 2])
  })
  for (let round = 0; round < 25; round++) {
    await sleep(80)
    cluster.relays.platform!.cut()
  }
  for (const { state } of await Promise.all(replies)) expect(state).toBe('complete')
  expect(cluster.startedKeys()).toHaveLength(120)
}))

test('the answer of an unrepeatable job that ends during a table outage is withheld until its state is saved', () => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'booking', tasks: createTasks(2, 600), unrepeatable: true })
  await sleep(250)
  await cluster.setPlatform({ mode: 'refuse' })
  expect(await reply).toMatchObject({ status: 503, reason: 'answer_unsaved' })
  await cluster.setPlatform({ mode: 'ok' })
  const first = await submitUntilFinal(cluster, { id: 'booking', tasks: createTasks(2, 600), unrepeatable: true }, [0])
  expect(first).toMatchObject({ state: 'complete' })
  cluster.entries[0]!.kill('SIGKILL')
  expect(await getJob(cluster, 'booking', { entry: 1 })).toMatchObject({ state: 'complete', results: first.results })
}))

test('a job whose owner is killed during a table outage is answered after the outage, and no task runs twice', () => withCluster(async (cluster) => {
  const job = { id: 'together', tasks: createTasks(6, 700), unrepeatable: true }
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

test('a large answer is stored in the object store and returned by another entry', () => withCluster(async (cluster) => {
  const tasks = [{ payload: JSON.stringify({ ms: 10, bytes: 60_000 }) }]
  const first = await submit(cluster, { id: 'large', tasks, unrepeatable: true })
  expect(first.results[0]!.length).toBeGreaterThan(60_000)
  cluster.entries[0]!.kill('SIGKILL')
  expect(await getJob(cluster, 'large', { entry: 1 })).toMatchObject({ state: 'complete', results: first.results })
}))

test('a refusal still says "not run" if heartbeat writes are delayed past the stale time while all entries are alive', () => withCluster(async (cluster) => {
  await cluster.setPlatform({ holdWrites: 1000, holdMs: 15_000 })
  await sleep(7000)
  expect(await submit(cluster, { id: 'held-long' })).toMatchObject({ status: 503, reason: 'store_down', run: 'not run' })
}))

const ENTRY_STOPS = [
  { name: 'stops gracefully', signal: 'SIGTERM', restarts: false },
  { name: 'is killed and restarts at its address', signal: 'SIGKILL', restarts: true }
] as const

test.each(ENTRY_STOPS)('a refusal at another entry does not say "not run" of a job whose entry $name before a table outage', ({ signal, restarts }) =>
  withCluster(async (cluster) => {
    const job = { id: 'ran-there', tasks: createTasks(3, 50) }
    expect(await submit(cluster, job, { entry: 0 })).toMatchObject({ state: 'complete' })
    const { api, session } = cluster.entries[0]!.startupInfo as { api: string, session: string }
    if (restarts) await cluster.setPlatform({ mode: 'refuse' })
    cluster.entries[0]!.kill(signal)
    await cluster.entries[0]!.exited
    await sleep(restarts ? 0 : 1000)
    await cluster.setPlatform({ mode: 'refuse' })
    if (restarts) cluster.entries[0] = await cluster.startEntry(0, { api, session })
    const reply = await submit(cluster, job, { entry: 1 })
    if (reply.status !== 200) expect(reply).toMatchObject({ run: 'may have run' })
  }))

test('an entry cut off from the table does not say "not run" of a job that ran at an entry that joined meanwhile', () =>
  withCluster(async (cluster) => {
    const job = { id: 'ran-at-the-new-one', tasks: createTasks(3, 50) }
    cluster.entries.push(await cluster.startEntry(2, undefined, { platform: 'direct' }))
    await cluster.waitForEndpoints(3)
    cluster.relays.platform!.sever()
    cluster.entries.push(await cluster.startEntry(3, undefined, { platform: 'direct' }))
    expect(await submitUntilFinal(cluster, job, [3])).toMatchObject({ state: 'complete' })
    const reply = await submit(cluster, job, { entry: 1 })
    if (reply.status !== 200) expect(reply).toMatchObject({ run: 'may have run' })
  }))

test('a job gets one answer and each task runs once if table outages hit its claim and its end', () =>
  withCluster(async (cluster) => {
    const job = { id: 'two-outages', tasks: createTasks(4, 800), unrepeatable: true }
    await cluster.setPlatform({ mode: 'hang' })
    await submit(cluster, job, { entry: 0 })
    await cluster.setPlatform({ mode: 'ok' })
    const reply = submitUntilFinal(cluster, job, [0, 1])
    await cluster.waitUntil('the job runs', () => startsOf(cluster, job.id).length === 4)
    await cluster.setPlatform({ mode: 'refuse' })
    await sleep(1500)
    await cluster.setPlatform({ mode: 'ok' })
    const answer = await reply
    expect(answer).toMatchObject({ state: 'complete' })
    expect(startsOf(cluster, job.id)).toHaveLength(4)
    expect(await getJob(cluster, job.id, { entry: 1 })).toMatchObject({ state: 'complete', results: answer.results })
  }))
