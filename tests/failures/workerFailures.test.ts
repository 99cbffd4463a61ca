import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { cancel, clusterRunner, createTasks, startsOf, submit } from '../support.js'

const withCluster = clusterRunner({ relays: true })

test('a job fails with agent_lost if an agent is killed while it runs tasks of the job', () => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'agent-killed', tasks: createTasks(10, 3000) })
  await sleep(400)
  cluster.workers[0]!.agent.kill('SIGKILL')
  expect(await reply).toMatchObject({ status: 200, state: 'failed', reason: 'agent_lost', results: [] })
  expect(await submit(cluster, { id: 'after', tasks: createTasks(10, 20) })).toMatchObject({ state: 'complete' })
}))

test('a killed agent that restarts serves new jobs and does not run the earlier ones', () => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'agent-restarts', tasks: createTasks(10, 1500) })
  await sleep(300)
  const { agent } = cluster.workers[0]!
  agent.kill('SIGKILL')
  await agent.exited
  cluster.workers[0]!.agent = await cluster.startAgent(0, agent.startupInfo['agent']!.split(':')[1]!)
  expect(await reply).toMatchObject({ state: 'failed', reason: 'agent_lost' })
  await cluster.waitForEndpoints(3)
  expect(await submit(cluster, { id: 'after', tasks: createTasks(12, 200) })).toMatchObject({ state: 'complete' })
}))

test.each([
  { name: 'for less than the resume window', frozenMs: 1200, state: 'complete' },
  { name: 'past the resume window', frozenMs: 5000, state: 'failed' }
])('a job ends in state $state if an agent is suspended $name', ({ frozenMs, state }) => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'agent-frozen', tasks: createTasks(24, 900) })
  await sleep(300)
  cluster.workers[0]!.agent.kill('SIGSTOP')
  await sleep(frozenMs)
  cluster.workers[0]!.agent.kill('SIGCONT')
  expect(await reply).toMatchObject({ state })
  await cluster.waitForEndpoints(3)
  expect(await submit(cluster, { id: 'after', tasks: createTasks(12, 50) })).toMatchObject({ state: 'complete' })
}))

test('a job completes and each task starts once if sessions are cut repeatedly', () => withCluster(async (cluster) => {
  // Tasks run longer than a reconnect takes, so that they are in flight while sessions resume.
  const reply = submit(cluster, { id: 'cut', tasks: createTasks(48, 700) })
  for (let round = 0; round < 5; round++) {
    await sleep(350)
    cluster.relays.sessions[0]!.cut()
  }
  expect(await reply).toMatchObject({ state: 'complete' })
  expect(startsOf(cluster, 'cut')).toHaveLength(48)
}))

test.each([
  { name: 'withholds packets', fault: 'freeze' as const },
  { name: 'refuses connections', fault: 'sever' as const }
])('an entry\'s jobs fail and the other entry serves if the network to the entry $name past every time limit', ({ fault }) => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'cut-off', tasks: createTasks(24, 800) })
  await sleep(300)
  cluster.relays.sessions[0]![fault]()
  expect(await submit(cluster, { id: 'meanwhile', tasks: createTasks(6, 50) }, { entry: 1 })).toMatchObject({ state: 'complete' })
  expect(await reply).toMatchObject({ state: 'failed', reason: 'agent_lost' })
  cluster.relays.sessions[0]!.heal()
  await cluster.waitForEndpoints(3)
  expect(await submit(cluster, { id: 'after', tasks: createTasks(6, 50) })).toMatchObject({ state: 'complete' })
}))

test('a job fails and its tasks do not start again if the connection to an endpoint is cut while they run', () => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'endpoint-cut', tasks: createTasks(10, 1500) })
  await sleep(400)
  cluster.relays.endpoints[0]!.cut()
  expect(await reply).toMatchObject({ state: 'failed', reason: 'task_failed', message: expect.stringContaining('endpoint_reset') })
}))

test('a job ends if one endpoint refuses connections', () => withCluster(async (cluster) => {
  cluster.relays.endpoints[0]!.setTarget('127.0.0.1:1')
  cluster.relays.endpoints[0]!.cut()
  cluster.workers[0]!.endpoint.kill('SIGKILL')
  const reply = await submit(cluster, { id: 'refused', tasks: createTasks(6, 50) })
  expect(['complete', 'failed']).toContain(reply.state)
}))

test('new jobs go to other endpoints after an endpoint is killed', () => withCluster(async (cluster) => {
  cluster.workers[0]!.endpoint.kill('SIGKILL')
  await cluster.waitForEndpoints(2)
  expect(await submit(cluster, { id: 'two-left', tasks: createTasks(20, 50) })).toMatchObject({ state: 'complete' })
}))

test('a job fails with lease_expired if an endpoint is suspended while it runs a task', () => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'frozen', tasks: createTasks(10, 500) })
  await sleep(200)
  cluster.workers[0]!.endpoint.kill('SIGSTOP')
  expect(await reply).toMatchObject({ state: 'failed', reason: 'task_failed', message: expect.stringContaining('lease_expired') })
  cluster.workers[0]!.endpoint.kill('SIGCONT')
}, { entryArgs: ['--lease-ms', '2000'] }))

test('a job completes if an endpoint stops gracefully while it runs its tasks', () => withCluster(async (cluster) => {
  const reply = submit(cluster, { id: 'withdraws', tasks: createTasks(60, 300) })
  await sleep(500)
  const { endpoint } = cluster.workers[0]!
  endpoint.kill('SIGTERM')
  expect(await reply).toMatchObject({ state: 'complete' })
  expect(await endpoint.exited).toBe(0)
}))

test('an endpoint that stops sending heartbeats gets no new tasks', () => withCluster(async (cluster) => {
  await cluster.setEndpoint(0, { announces: false })
  await cluster.waitForEndpoints(2)
  expect(await submit(cluster, { id: 'silent', tasks: createTasks(30, 20) })).toMatchObject({ state: 'complete' })
  const record = await (await fetch(`http://${cluster.workers[0]!.endpoint.startupInfo['endpoint']}/record`)).json() as { starts: object[] }
  expect(record.starts).toHaveLength(0)
}))

test('an endpoint that fails all tasks is ejected', () => withCluster(async (cluster) => {
  await cluster.setEndpoint(0, { mode: 'fail' })
  const states: string[] = []
  for (let n = 0; n < 60; n++) states.push((await submit(cluster, { id: `job-${n}`, tasks: createTasks(1, 20) })).state)
  // The first failures lead to the ejection; after it the endpoint only gets probes.
  expect(states.slice(-20).filter((state) => state === 'failed').length).toBeLessThanOrEqual(2)
  await cluster.setEndpoint(0, { mode: 'ok' })
}))

test('no task of many jobs cancelled together starts after their cancellation', () => withCluster(async (cluster) => {
  const ids = Array.from({ length: 60 }, (_, n) => `wave-${n}`)
  await Promise.all(ids.map((id, n) => submit(cluster, { id, tasks: createTasks(10, 400) }, { entry: n % 2, waitMs: 0 })))
  const replies = await Promise.all(ids.map((id, n) => cancel(cluster, id, { entry: (n + 1) % 2 })))
  for (const { status, state, reason } of replies) {
    expect(status).toBe(200)
    if (state === 'failed') expect(reason).toBe('cancelled')
  }
  const started = cluster.startedKeys().length
  expect(await submit(cluster, { id: 'after', tasks: createTasks(12, 50) })).toMatchObject({ state: 'complete' })
  expect(cluster.startedKeys().length).toBe(started + 12)
}))

test('no task starts of a job that was cancelled with the answer "not run"', () => withCluster(async (cluster) => {
  const blocker = submit(cluster, { id: 'blocker', tasks: createTasks(40, 1000) })
  await sleep(200)
  await submit(cluster, { id: 'waits', tasks: createTasks(5, 10) }, { waitMs: 0 })
  const reply = await cancel(cluster, 'waits')
  if (reply.run === 'not run') expect(startsOf(cluster, 'waits')).toEqual([])
  await cancel(cluster, 'blocker')
  await blocker
  await sleep(300)
  if (reply.run === 'not run') expect(startsOf(cluster, 'waits')).toEqual([])
}))

test('late results do not change a final answer, and results out of order or after a cut session go to their own tasks', () => withCluster(async (cluster) => {
  const late = await submit(cluster, { id: 'late', tasks: createTasks(3, 1200), deadlineMs: 400 })
  expect(late).toMatchObject({ state: 'failed', reason: 'deadline' })
  const tasks = Array.from({ length: 12 }, (_, index) => ({ payload: JSON.stringify({ ms: 900 - index * 60, value: `own ${index}` }) }))
  const reply = submit(cluster, { id: 'reversed', tasks })
  await sleep(500)
  cluster.relays.sessions[0]!.cut()
  expect((await reply).results.map((result) => JSON.parse(result).value)).toEqual(tasks.map((_, index) => `own ${index}`))
  expect(await submit(cluster, { id: 'late', tasks: createTasks(3, 1200) }, { entry: 1 })).toMatchObject({ state: 'failed', reason: 'deadline' })
}))
