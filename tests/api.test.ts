import { ADMIN_TOKEN, callerToken, operatorToken } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { call, cancel, createTasks, getJob, submit, useCluster } from './support.js'

const cluster = useCluster({ workspaces: [{ name: 'florist' }, { name: 'surveyor' }] })

const post = (body: string, token = callerToken('florist'), workspace = 'florist') =>
  call(`${cluster().apiUrl()}/v1/workspaces/${workspace}/jobs`, { method: 'POST', body }, token)

const VALID = { id: 'x', service: 'order-desk', tasks: [{ payload: 'a' }] }
const json = (change: object) => JSON.stringify({ ...VALID, ...change })

test.each([
  { name: 'no body', body: '', status: 400, reason: 'bad_request' },
  { name: 'not JSON', body: '{"id":', status: 400, reason: 'bad_request' },
  { name: 'an array', body: '[]', status: 400, reason: 'bad_request' },
  { name: 'an unknown field', body: json({ colour: 'red' }), status: 400, reason: 'bad_request' },
  { name: 'a duplicate field', body: '{"id":"a","id":"b","service":"order-desk","tasks":[{"payload":""}]}', status: 400, reason: 'bad_request' },
  { name: 'a duplicate field of a task', body: '{"id":"a","service":"order-desk","tasks":[{"payload":"","payload":"x"}]}', status: 400, reason: 'bad_request' },
  { name: 'a field of another type', body: json({ tasks: 'none' }), status: 400, reason: 'bad_request' },
  { name: 'no id', body: json({ id: '' }), status: 400, reason: 'bad_request' },
  { name: 'an id with a slash', body: json({ id: 'a/b' }), status: 400, reason: 'bad_request' },
  { name: 'no tasks', body: json({ tasks: [] }), status: 400, reason: 'bad_request' },
  { name: 'too many tasks', body: json({ tasks: createTasks(2001, 1) }), status: 400, reason: 'bad_request' },
  { name: 'a deadline too long', body: json({ deadlineMs: 100_000_000 }), status: 400, reason: 'bad_request' },
  { name: 'a negative deadline', body: json({ deadlineMs: -1 }), status: 400, reason: 'bad_request' },
  { name: 'too many labels', body: json({ labels: Object.fromEntries(Array.from({ length: 33 }, (_, i) => [`l${i}`, 'x'])) }), status: 400, reason: 'bad_request' },
  { name: 'a body too large', body: json({ labels: { a: 'x'.repeat(5_000_000) } }), status: 413, reason: 'body_too_large' },
  { name: 'an unknown service', body: json({ service: 'nobody' }), status: 503, reason: 'no_endpoint' },
  { name: 'a wrong token', body: json({}), token: 'wrong', status: 401, reason: 'unauthorized' },
  { name: 'another workspace\'s token', body: json({}), token: callerToken('surveyor'), status: 404, reason: 'not_found' },
  { name: 'a workspace that does not exist', body: json({}), workspace: 'nobody', status: 404, reason: 'not_found' }
])('a submission is refused and runs nothing: $name', async ({ body, token, workspace, status, reason }) => {
  const reply = await post(body, token, workspace)
  expect(reply).toMatchObject({ status, reason, run: 'not run' })
  expect(reply.message).not.toBe('')
  expect(cluster().startedKeys()).toEqual([])
})

test.each([
  { method: 'GET', path: '/v1/nothing', status: 404, reason: 'not_found' },
  { method: 'PATCH', path: '/v1/workspaces/florist/jobs', status: 405, reason: 'method_not_allowed' },
  { method: 'GET', path: '/v1/workspaces/florist/jobs/absent', status: 404, reason: 'not_found' },
  { method: 'DELETE', path: '/v1/workspaces/florist/jobs/absent', status: 404, reason: 'not_found' },
  { method: 'GET', path: '/v1/workspaces/florist/jobs/a?waitMs=soon', status: 400, reason: 'bad_request' },
  { method: 'GET', path: '/v1/status', status: 401, reason: 'unauthorized' },
  { method: 'GET', path: '/v1/workspaces', status: 401, reason: 'unauthorized' },
  { method: 'GET', path: '/v1/workspaces/florist/policy', status: 403, reason: 'forbidden' },
  { method: 'PUT', path: '/v1/workspaces/florist', status: 401, reason: 'unauthorized' }
])('$method $path gives $status $reason', async ({ method, path, status, reason }) => {
  const reply = await call(cluster().apiUrl() + path, { method }, callerToken('florist'))
  expect(reply).toMatchObject({ status, reason })
})

test.each([
  { body: { admit: 'job.task > 1' }, status: 400, reason: 'bad_policy', faults: [{ field: 'admit', line: 1, column: 5 }] },
  { body: { admit: 'true', seenVersion: '99' }, status: 409, reason: 'version_conflict', seenVersion: '99' },
  { body: { admitted: 'true' }, status: 400, reason: 'bad_request' }
])('a policy update that cannot be accepted is refused with $reason', async ({ body, ...expected }) => {
  const url = `${cluster().apiUrl()}/v1/workspaces/florist/policy`
  expect(await call(url, { method: 'PUT', body: JSON.stringify(body) }, operatorToken('florist'))).toMatchObject(expected)
})

test('each concurrent caller gets the complete answer of its own job, in task order', async () => {
  const jobs = Array.from({ length: 10 }, (_, n) => ({
    id: `own-${n}`, tasks: Array.from({ length: 12 }, (_, t) => ({ payload: JSON.stringify({ ms: (t * 37 + n * 13) % 60, value: `${n}:${t}` }) }))
  }))
  const replies = await Promise.all(jobs.map((job, n) => submit(cluster(), job, { entry: n % 2 })))
  for (const [n, { results }] of replies.entries()) {
    expect(results.map((result) => JSON.parse(result).value)).toEqual(Array.from({ length: 12 }, (_, t) => `${n}:${t}`))
  }
})

test('a resubmission at any entry gets the same answer, and a different body under the same id gets a conflict', async () => {
  const job = { id: 'again', tasks: createTasks(5, 100) }
  const replies = await Promise.all([0, 1, 0, 1].map((entry) => submit(cluster(), job, { entry })))
  expect(new Set(replies.map(({ results }) => results.join())).size).toBe(1)
  expect(replies[0]).toMatchObject({ status: 200, state: 'complete' })
  for (const entry of [0, 1]) {
    expect(await submit(cluster(), { ...job, tasks: createTasks(6, 100) }, { entry })).toMatchObject({ status: 409, reason: 'id_conflict' })
  }
  expect(cluster().startedTwice()).toEqual([])
})

test('a submission without waiting returns 202, and any entry returns the answer later', async () => {
  expect(await submit(cluster(), { id: 'later', tasks: createTasks(3, 300) }, { waitMs: 0 })).toMatchObject({ status: 202, state: 'running' })
  expect(await getJob(cluster(), 'later', { entry: 1, waitMs: 0 })).toMatchObject({ status: 202 })
  expect(await getJob(cluster(), 'later', { entry: 1 })).toMatchObject({ status: 200, state: 'complete' })
})

test('a failed task fails its job with reason task_failed', async () => {
  const reply = await submit(cluster(), { id: 'fails', tasks: [{ payload: '{"fail":true}' }, ...createTasks(3, 50)] })
  expect(reply).toMatchObject({ status: 200, state: 'failed', reason: 'task_failed', run: 'ran', results: [] })
})

test('a job cancelled at another entry than its owner gets a final answer with reason cancelled', async () => {
  await submit(cluster(), { id: 'cancelled', tasks: createTasks(60, 2000) }, { waitMs: 0 })
  expect(await cancel(cluster(), 'cancelled', { entry: 1 })).toMatchObject({ status: 200, state: 'failed', reason: 'cancelled' })
  expect(await getJob(cluster(), 'cancelled')).toMatchObject({ status: 200, reason: 'cancelled' })
})

test('a job whose deadline cannot be met fails at once or at its deadline', async () => {
  const reply = await submit(cluster(), { id: 'late', tasks: createTasks(24, 5000), deadlineMs: 400 })
  expect(['deadline', 'deadline_unreachable']).toContain(reply.reason)
})

test('a policy applies to submissions at every entry once its PUT has returned', async () => {
  const url = `${cluster().apiUrl(1)}/v1/workspaces/surveyor/policy?waitMs=5000`
  const body = JSON.stringify({ admit: 'job.tasks <= 2', reason: '"at most two tasks"' })
  expect(await call(url, { method: 'PUT', body }, operatorToken('surveyor'))).toMatchObject({ status: 200, pending: [] })
  for (const entry of [0, 1]) {
    expect(await submit(cluster(), { id: `big-${entry}`, tasks: createTasks(3, 1) }, { entry, workspace: 'surveyor' }))
      .toMatchObject({ status: 403, reason: 'policy_denied', run: 'not run', message: 'at most two tasks' })
    expect(await submit(cluster(), { id: `small-${entry}` }, { entry, workspace: 'surveyor' })).toMatchObject({ status: 200 })
  }
})

test('a workspace cannot read or cancel the jobs of another, and metrics name no workspace', async () => {
  await submit(cluster(), { id: 'private' })
  expect(await getJob(cluster(), 'private', { workspace: 'surveyor' })).toMatchObject({ status: 404, reason: 'not_found' })
  expect(await cancel(cluster(), 'private', { workspace: 'surveyor' })).toMatchObject({ status: 404 })
  expect(await submit(cluster(), { id: 'private' }, { workspace: 'surveyor' })).toMatchObject({ status: 200, state: 'complete' })
  const metrics = await (await fetch(`${cluster().apiUrl()}/metrics`)).text()
  expect(metrics).toContain('hazellift_claims_total')
  expect(metrics).not.toMatch(/florist|surveyor/)
  const listed = await call(`${cluster().apiUrl()}/v1/workspaces/florist`, {}, operatorToken('surveyor'))
  expect(listed).toMatchObject({ status: 404 })
})

test('the status lists all entries, their endpoints and the configuration version in force', async () => {
  const reply = await call(`${cluster().apiUrl()}/v1/status`, {}, ADMIN_TOKEN) as unknown as { entries: { configVersion: string, endpoints: object[] }[] }
  expect(reply.entries).toHaveLength(2)
  expect(new Set(reply.entries.map(({ configVersion }) => configVersion)).size).toBe(1)
  expect(reply.entries[0]!.endpoints).toHaveLength(3)
})
