import { setTimeout as sleep } from 'node:timers/promises'
import type { Cluster } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { clusterRunner, createTasks, getJob, submit, submitUntilFinal } from '../support.js'
import type { JobReply } from '../support.js'

const withCluster = clusterRunner({ entries: 3, workers: 4 })

const isReady = async (cluster: Cluster, entry: number): Promise<boolean> => {
  try {
    return (await fetch(`${cluster.apiUrl(entry)}/readyz`)).status === 200
  } catch {
    return false
  }
}

/** Submits jobs to ready entries, as a load balancer does, until the returned function is called; it returns all replies. */
const keepSubmitting = (cluster: Cluster) => {
  const controller = new AbortController()
  const replies: Promise<JobReply>[] = []
  const loop = async (): Promise<void> => {
    for (let n = 0; !controller.signal.aborted; n++) {
      const ready = (await Promise.all([0, 1, 2].map((entry) => isReady(cluster, entry)))).flatMap((isEntryReady, entry) => isEntryReady ? [entry] : [])
      if (ready.length > 0) replies.push(submit(cluster, { id: `load-${n}`, tasks: createTasks(3, 100) }, { entry: ready[n % ready.length]! }))
      await sleep(20)
    }
  }
  const running = loop()
  return async (): Promise<JobReply[]> => {
    controller.abort()
    await running
    return Promise.all(replies)
  }
}

/** Expects no interrupted request; a few "not run" refusals are allowed, as a load balancer retries these at another entry. */
const expectNoneInterrupted = (replies: JobReply[]): void => {
  expect(replies.length).toBeGreaterThan(50)
  for (const reply of replies) {
    const isRefused = reply.status === 503 && reply.run === 'not run'
    if (!isRefused) expect(reply).toMatchObject({ status: 200, state: 'complete', reason: '', message: '' })
  }
  expect(replies.filter(({ status }) => status === 503).length).toBeLessThanOrEqual(replies.length / 20)
}

test('a rolling restart of all entries under load interrupts and fails no jobs', () => withCluster(async (cluster) => {
  const stopSubmitting = keepSubmitting(cluster)
  for (const entry of [0, 1, 2]) {
    await sleep(400)
    const program = cluster.entries[entry]!
    program.kill('SIGTERM')
    expect(await program.exited).toBe(0)
    cluster.entries[entry] = await cluster.startEntry(entry)
    await cluster.waitForEndpoints(4)
  }
  expectNoneInterrupted(await stopSubmitting())
}))

test('a rolling restart of all agents and endpoints under load interrupts and fails no jobs', () => withCluster(async (cluster) => {
  const stopSubmitting = keepSubmitting(cluster)
  for (const worker of cluster.workers) {
    await sleep(400)
    worker.agent.kill('SIGTERM')
    expect(await worker.agent.exited).toBe(0)
    worker.agent = await cluster.startAgent(worker.index, worker.agent.startupInfo['agent']!.split(':')[1]!)
    await cluster.waitForEndpoints(4)
    worker.endpoint.kill('SIGTERM')
    expect(await worker.endpoint.exited).toBe(0)
    worker.endpoint = await cluster.startEndpoint(worker.index, worker.agent)
    await cluster.waitForEndpoints(4)
  }
  expectNoneInterrupted(await stopSubmitting())
}))

test('a stopping entry answers waiting callers and refuses new jobs as not run', () => withCluster(async (cluster) => {
  const waiting = submit(cluster, { id: 'long', tasks: createTasks(4, 1500) })
  await sleep(300)
  cluster.entries[0]!.kill('SIGTERM')
  await sleep(200)
  expect(await isReady(cluster, 0)).toBe(false)
  expect(await submit(cluster, { id: 'new' }, { entry: 0 })).toMatchObject({ status: 503, reason: 'stopping', run: 'not run' })
  expect(await waiting).toMatchObject({ state: 'complete' })
  expect(await cluster.entries[0]!.exited).toBe(0)
  expect(await getJob(cluster, 'long', { entry: 1 })).toMatchObject({ state: 'complete' })
}))

test('a second signal cuts the graceful stop, and each job cut gets a log line and an answer', () => withCluster(async (cluster) => {
  const waiting = submit(cluster, { id: 'endless', tasks: createTasks(4, 20_000) })
  await sleep(300)
  const [entry] = cluster.entries
  entry!.kill('SIGTERM')
  await sleep(300)
  entry!.kill('SIGTERM')
  expect(await waiting).toMatchObject({ state: 'failed', reason: 'stop_cut' })
  expect(await entry!.exited).toBe(75)
  expect(entry!.logLines().some((line) => line.includes('event=cut item=florist/endless'))).toBe(true)
  expect(await submitUntilFinal(cluster, { id: 'endless', tasks: createTasks(4, 20_000) }, [1])).toMatchObject({ state: 'failed', reason: 'stop_cut' })
}))

test('a stopping entry answers callers that wait there for the job of another entry', () => withCluster(async (cluster) => {
  const owner = submit(cluster, { id: 'elsewhere', tasks: createTasks(4, 2500) }, { entry: 1 })
  await sleep(300)
  const waiting = getJob(cluster, 'elsewhere', { entry: 0 })
  await sleep(300)
  cluster.entries[0]!.kill('SIGTERM')
  expect(await waiting).toMatchObject({ status: 200, state: 'complete' })
  expect(await cluster.entries[0]!.exited).toBe(0)
  expect(await owner).toMatchObject({ state: 'complete' })
}))
