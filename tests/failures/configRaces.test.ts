import { setTimeout as sleep } from 'node:timers/promises'
import { operatorToken } from '@hazellift/standins'
import type { Cluster } from '@hazellift/standins'
import { expect, test } from 'vitest'
import { call, clusterRunner, submit, tasksOf } from '../support.js'

interface PutTold { status: number, version?: string, inForce?: string[], pending?: string[], currentVersion?: string }

const withCluster = clusterRunner({ entries: 3, workers: 1, entryArgs: ['--config-poll-ms', '200'] })

const policyUrl = (cluster: Cluster, entry: number): string => `${cluster.apiUrl(entry)}/v1/workspaces/florist/policy`

const putPolicy = async (cluster: Cluster, entry: number, change: object): Promise<PutTold> =>
  await call(`${policyUrl(cluster, entry)}?waitMs=3000`, { method: 'PUT', body: JSON.stringify(change) }, operatorToken('florist')) as unknown as PutTold

const getPolicy = async (cluster: Cluster, entry: number): Promise<{ version: string, admit: string, priority: string }> =>
  await call(policyUrl(cluster, entry), {}, operatorToken('florist')) as never

test('of operators that race from one version, one is accepted and the others are told both versions', () => withCluster(async (cluster) => {
  let seen = '0'
  for (let round = 0; round < 5; round++) {
    const seenVersion = seen
    const told = await Promise.all([0, 1, 2, 0, 1, 2].map((entry, n) =>
      putPolicy(cluster, entry, { priority: String(round * 10 + n), seenVersion })))
    const accepted = told.filter(({ status }) => status === 200)
    expect(accepted).toHaveLength(1)
    for (const { status, currentVersion } of told) if (status !== 200) expect([status, currentVersion]).toEqual([409, accepted[0]!.version])
    seen = accepted[0]!.version!
    expect(accepted[0]!.inForce).toHaveLength(3)
    const winner = told.findIndex(({ status }) => status === 200)
    for (const entry of [0, 1, 2]) expect(await getPolicy(cluster, entry)).toMatchObject({ version: seen, priority: String(round * 10 + winner) })
  }
}))

test('the acknowledgement of a change is lost: it is accepted once, and sending it again gives the same version', () => withCluster(async (cluster) => {
  const change = { priority: '1', seenVersion: '0', operationId: 'change-1' }
  await cluster.setPlatform({ loseAcks: 3 })
  const first = await putPolicy(cluster, 0, change)
  const again = await putPolicy(cluster, 1, change)
  expect(first).toMatchObject({ status: 200 })
  expect(again).toMatchObject({ status: 200, version: first.version })
}))

test('a frozen entry does not hold up a change, and takes no job under the old policy for long after it wakes', () => withCluster(async (cluster) => {
  cluster.entries[2]!.kill('SIGSTOP')
  const told = await putPolicy(cluster, 0, { admit: 'job.tasks < 2', seenVersion: '0' })
  expect(told).toMatchObject({ status: 200 })
  cluster.entries[2]!.kill('SIGCONT')
  await cluster.waitUntil('the woken entry has the change in force', async () => (await getPolicy(cluster, 2)).version === told.version)
  expect(await submit(cluster, { id: 'two', tasks: tasksOf(2, 1) }, { entry: 2 })).toMatchObject({ reason: 'policy_denied' })
}))

test('an entry that starts during an outage of the table is not ready, and never serves an older configuration', () => withCluster(async (cluster) => {
  const { version } = await putPolicy(cluster, 0, { admit: 'job.tasks < 2', seenVersion: '0' })
  const { api, session } = cluster.entries[1]!.startupInfo as { api: string, session: string }
  cluster.entries[1]!.kill('SIGKILL')
  await cluster.entries[1]!.exited
  await cluster.setPlatform({ mode: 'refuse' })
  cluster.entries[1] = await cluster.startEntry(1, { api, session })
  await sleep(1500)
  expect((await fetch(`${cluster.apiUrl(1)}/readyz`)).status).toBe(503)
  expect((await submit(cluster, { id: 'early', tasks: tasksOf(2, 1) }, { entry: 1 })).status).not.toBe(200)
  await cluster.setPlatform({ mode: 'ok' })
  await cluster.waitForEndpoints(1)
  expect(await getPolicy(cluster, 1)).toMatchObject({ version })
  expect(await submit(cluster, { id: 'late', tasks: tasksOf(2, 1) }, { entry: 1 })).toMatchObject({ reason: 'policy_denied' })
}))

test('entries that run through an outage keep the configuration in force', () => withCluster(async (cluster) => {
  const { version } = await putPolicy(cluster, 0, { admit: 'job.tasks < 2', seenVersion: '0' })
  await cluster.setPlatform({ mode: 'hang' })
  await sleep(1500)
  for (const entry of [0, 1, 2]) expect(await getPolicy(cluster, entry)).toMatchObject({ version })
  expect(await putPolicy(cluster, 0, { admit: 'true', seenVersion: version })).toMatchObject({ status: 503 })
}))
