import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { cancel, clusterRunner, startsOf, submit, tasksOf } from '../support.js'

const withCluster = clusterRunner({ relays: true })

test('an agent is killed with tasks in its hands: the job fails as "may have run"', () => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'agent-killed', tasks: tasksOf(10, 3000) })
  await sleep(400)
  cluster.workers[0]!.agent.kill('SIGKILL')
  expect(await told).toMatchObject({ status: 200, state: 'failed', reason: 'agent_lost', results: [] })
  expect(await submit(cluster, { id: 'after', tasks: tasksOf(10, 20) })).toMatchObject({ state: 'complete' })
}))

test('a killed agent that starts again serves new jobs, and does not run the old ones', () => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'agent-restarts', tasks: tasksOf(10, 1500) })
  await sleep(300)
  const { agent } = cluster.workers[0]!
  agent.kill('SIGKILL')
  await agent.exited
  cluster.workers[0]!.agent = await cluster.startAgent(0, agent.startupInfo['agent']!.split(':')[1]!)
  expect(await told).toMatchObject({ state: 'failed', reason: 'agent_lost' })
  await cluster.waitForEndpoints(3)
  expect(await submit(cluster, { id: 'after', tasks: tasksOf(12, 200) })).toMatchObject({ state: 'complete' })
}))

test.each([
  { name: 'briefly: the session resumes and the job completes', frozenMs: 1200, state: 'complete' },
  { name: 'past the resume window: the job fails', frozenMs: 5000, state: 'failed' }
])('an agent is frozen $name', ({ frozenMs, state }) => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'agent-frozen', tasks: tasksOf(24, 900) })
  await sleep(300)
  cluster.workers[0]!.agent.kill('SIGSTOP')
  await sleep(frozenMs)
  cluster.workers[0]!.agent.kill('SIGCONT')
  expect(await told).toMatchObject({ state })
  await cluster.waitForEndpoints(3)
  expect(await submit(cluster, { id: 'after', tasks: tasksOf(12, 50) })).toMatchObject({ state: 'complete' })
}))

test('sessions are cut again and again: each task still starts once and the job completes', () => withCluster(async (cluster) => {
  // Tasks longer than a reconnect, so that agents hold them while sessions resume.
  const told = submit(cluster, { id: 'cut', tasks: tasksOf(48, 700) })
  for (let round = 0; round < 5; round++) {
    await sleep(350)
    cluster.relays.sessions[0]!.cut()
  }
  expect(await told).toMatchObject({ state: 'complete' })
  expect(startsOf(cluster, 'cut')).toHaveLength(48)
}))

test.each([
  { name: 'withholds packets', fault: 'freeze' as const },
  { name: 'refuses connections', fault: 'sever' as const }
])('the network to one entry $name past every limit: its jobs fail, the other entry serves', ({ fault }) => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'cut-off', tasks: tasksOf(24, 800) })
  await sleep(300)
  cluster.relays.sessions[0]![fault]()
  expect(await submit(cluster, { id: 'meanwhile', tasks: tasksOf(6, 50) }, { entry: 1 })).toMatchObject({ state: 'complete' })
  expect(await told).toMatchObject({ state: 'failed', reason: 'agent_lost' })
  cluster.relays.sessions[0]!.heal()
  await cluster.waitForEndpoints(3)
  expect(await submit(cluster, { id: 'after', tasks: tasksOf(6, 50) })).toMatchObject({ state: 'complete' })
}))

test('the connection to an endpoint is cut mid-flight: the job fails and its tasks do not start again', () => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'endpoint-cut', tasks: tasksOf(10, 1500) })
  await sleep(400)
  cluster.relays.endpoints[0]!.cut()
  expect(await told).toMatchObject({ state: 'failed', reason: 'task_failed', message: expect.stringContaining('endpoint_reset') })
}))

test('an endpoint that refuses connections is passed over: nothing was started there', () => withCluster(async (cluster) => {
  cluster.relays.endpoints[0]!.setTarget('127.0.0.1:1')
  cluster.relays.endpoints[0]!.cut()
  cluster.workers[0]!.endpoint.kill('SIGKILL')
  const told = await submit(cluster, { id: 'refused', tasks: tasksOf(6, 50) })
  expect(['complete', 'failed']).toContain(told.state)
}))

test('an endpoint is killed: new work goes elsewhere once it is silent', () => withCluster(async (cluster) => {
  cluster.workers[0]!.endpoint.kill('SIGKILL')
  await cluster.waitForEndpoints(2)
  expect(await submit(cluster, { id: 'two-left', tasks: tasksOf(20, 50) })).toMatchObject({ state: 'complete' })
}))

test('an endpoint is frozen: its lease ends the attempt, and the job fails', () => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'frozen', tasks: tasksOf(10, 500) })
  await sleep(200)
  cluster.workers[0]!.endpoint.kill('SIGSTOP')
  expect(await told).toMatchObject({ state: 'failed', reason: 'task_failed', message: expect.stringContaining('lease_expired') })
  cluster.workers[0]!.endpoint.kill('SIGCONT')
}, { entryArgs: ['--lease-ms', '2000'] }))

test('an endpoint withdraws: it gets no new task, and what it runs is answered', () => withCluster(async (cluster) => {
  const told = submit(cluster, { id: 'withdraws', tasks: tasksOf(60, 300) })
  await sleep(500)
  const { endpoint } = cluster.workers[0]!
  endpoint.kill('SIGTERM')
  expect(await told).toMatchObject({ state: 'complete' })
  expect(await endpoint.exited).toBe(0)
}))

test('an endpoint that falls silent gets no new task', () => withCluster(async (cluster) => {
  await cluster.setEndpoint(0, { announces: false })
  await cluster.waitForEndpoints(2)
  expect(await submit(cluster, { id: 'silent', tasks: tasksOf(30, 20) })).toMatchObject({ state: 'complete' })
  const record = await (await fetch(`http://${cluster.workers[0]!.endpoint.startupInfo['endpoint']}/record`)).json() as { starts: object[] }
  expect(record.starts).toHaveLength(0)
}))

test('an endpoint that fails everything is set aside', () => withCluster(async (cluster) => {
  await cluster.setEndpoint(0, { mode: 'fail' })
  const states: string[] = []
  for (let n = 0; n < 60; n++) states.push((await submit(cluster, { id: `job-${n}`, tasks: tasksOf(1, 20) })).state)
  // The first failures show it; then it is only probed.
  expect(states.slice(-20).filter((state) => state === 'failed').length).toBeLessThanOrEqual(2)
  await cluster.setEndpoint(0, { mode: 'ok' })
}))

test('a wave of cancellations over many jobs leaves nothing behind', () => withCluster(async (cluster) => {
  const ids = Array.from({ length: 60 }, (_, n) => `wave-${n}`)
  await Promise.all(ids.map((id, n) => submit(cluster, { id, tasks: tasksOf(10, 400) }, { entry: n % 2, waitMs: 0 })))
  const told = await Promise.all(ids.map((id, n) => cancel(cluster, id, { entry: (n + 1) % 2 })))
  for (const { status, state, reason } of told) {
    expect(status).toBe(200)
    if (state === 'failed') expect(reason).toBe('cancelled')
  }
  const started = cluster.startedKeys().length
  expect(await submit(cluster, { id: 'after', tasks: tasksOf(12, 50) })).toMatchObject({ state: 'complete' })
  expect(cluster.startedKeys().length).toBe(started + 12)
}))

test('"not run" is true of a job cancelled before any task began', () => withCluster(async (cluster) => {
  const blocker = submit(cluster, { id: 'blocker', tasks: tasksOf(40, 1000) })
  await sleep(200)
  await submit(cluster, { id: 'waits', tasks: tasksOf(5, 10) }, { waitMs: 0 })
  const told = await cancel(cluster, 'waits')
  if (told.run === 'not run') expect(startsOf(cluster, 'waits')).toEqual([])
  await cancel(cluster, 'blocker')
  await blocker
  await sleep(300)
  if (told.run === 'not run') expect(startsOf(cluster, 'waits')).toEqual([])
}))

test('answers that come late, out of order and after a cut go to nobody else, and change no answer', () => withCluster(async (cluster) => {
  const late = await submit(cluster, { id: 'late', tasks: tasksOf(3, 1200), deadlineMs: 400 })
  expect(late).toMatchObject({ state: 'failed', reason: 'deadline' })
  const tasks = Array.from({ length: 12 }, (_, index) => ({ payload: JSON.stringify({ ms: 900 - index * 60, value: `own ${index}` }) }))
  const told = submit(cluster, { id: 'reversed', tasks })
  await sleep(500)
  cluster.relays.sessions[0]!.cut()
  expect((await told).results.map((result) => JSON.parse(result).value)).toEqual(tasks.map((_, index) => `own ${index}`))
  expect(await submit(cluster, { id: 'late', tasks: tasksOf(3, 1200) }, { entry: 1 })).toMatchObject({ state: 'failed', reason: 'deadline' })
}))
