import { setTimeout as sleep } from 'node:timers/promises'
import type { Cluster } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { ask, clusterRunner, submit, submitUntilFinal, tasksOf } from '../support.js'
import type { Told } from '../support.js'

const withCluster = clusterRunner({ entries: 3, workers: 4 })

const isReady = async (cluster: Cluster, entry: number): Promise<boolean> => {
  try {
    return (await fetch(`${cluster.apiUrl(entry)}/readyz`)).status === 200
  } catch {
    return false
  }
}

/** Sends jobs as a balancer would, to entries that are ready, until told to stop. */
const keepSubmitting = (cluster: Cluster) => {
  const controller = new AbortController()
  const told: Promise<Told>[] = []
  const loop = async (): Promise<void> => {
    for (let n = 0; !controller.signal.aborted; n++) {
      const ready = (await Promise.all([0, 1, 2].map((entry) => isReady(cluster, entry)))).flatMap((is, entry) => is ? [entry] : [])
      if (ready.length > 0) told.push(submit(cluster, { id: `load-${n}`, tasks: tasksOf(3, 100) }, { entry: ready[n % ready.length]! }))
      await sleep(20)
    }
  }
  const running = loop()
  return async (): Promise<Told[]> => {
    controller.abort()
    await running
    return Promise.all(told)
  }
}

/** A refusal at the moment of a stop is sent on by a balancer; an interrupted request is not. */
const expectNoneInterrupted = (told: Told[]): void => {
  expect(told.length).toBeGreaterThan(50)
  for (const reply of told) {
    const isTurnedAway = reply.status === 503 && reply.run === 'not run'
    if (!isTurnedAway) expect(reply).toMatchObject({ status: 200, state: 'complete', reason: '', message: '' })
  }
  expect(told.filter(({ status }) => status === 503).length).toBeLessThanOrEqual(told.length / 20)
}

test('a rolling restart of all entries under load interrupts and fails nothing', () => withCluster(async (cluster) => {
  const end = keepSubmitting(cluster)
  for (const entry of [0, 1, 2]) {
    await sleep(400)
    const program = cluster.entries[entry]!
    program.kill('SIGTERM')
    expect(await program.exited).toBe(0)
    cluster.entries[entry] = await cluster.startEntry(entry)
    await cluster.waitForEndpoints(4)
  }
  expectNoneInterrupted(await end())
}))

test('a rolling restart of all agents and endpoints under load interrupts and fails nothing', () => withCluster(async (cluster) => {
  const end = keepSubmitting(cluster)
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
  expectNoneInterrupted(await end())
}))

test('a stopping entry answers those who wait, and refuses new work as not run', () => withCluster(async (cluster) => {
  const waiting = submit(cluster, { id: 'long', tasks: tasksOf(4, 1500) })
  await sleep(300)
  cluster.entries[0]!.kill('SIGTERM')
  await sleep(200)
  expect(await isReady(cluster, 0)).toBe(false)
  expect(await submit(cluster, { id: 'new' }, { entry: 0 })).toMatchObject({ status: 503, reason: 'stopping', run: 'not run' })
  expect(await waiting).toMatchObject({ state: 'complete' })
  expect(await cluster.entries[0]!.exited).toBe(0)
  expect(await ask(cluster, 'long', { entry: 1 })).toMatchObject({ state: 'complete' })
}))

test('a second signal cuts the stop: each job cut has its log line and its answer', () => withCluster(async (cluster) => {
  const waiting = submit(cluster, { id: 'endless', tasks: tasksOf(4, 20_000) })
  await sleep(300)
  const [entry] = cluster.entries
  entry!.kill('SIGTERM')
  await sleep(300)
  entry!.kill('SIGTERM')
  expect(await waiting).toMatchObject({ state: 'failed', reason: 'stop_cut' })
  expect(await entry!.exited).toBe(75)
  expect(entry!.logLines().some((line) => line.includes('event=cut item=florist/endless'))).toBe(true)
  expect(await submitUntilFinal(cluster, { id: 'endless', tasks: tasksOf(4, 20_000) }, [1])).toMatchObject({ state: 'failed', reason: 'stop_cut' })
}))

test('a stopping entry answers those who wait there for a job of another entry', () => withCluster(async (cluster) => {
  const owner = submit(cluster, { id: 'elsewhere', tasks: tasksOf(4, 2500) }, { entry: 1 })
  await sleep(300)
  const waiting = ask(cluster, 'elsewhere', { entry: 0 })
  await sleep(300)
  cluster.entries[0]!.kill('SIGTERM')
  expect(await waiting).toMatchObject({ status: 200, state: 'complete' })
  expect(await cluster.entries[0]!.exited).toBe(0)
  expect(await owner).toMatchObject({ state: 'complete' })
}))
