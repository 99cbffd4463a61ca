import { spawnSync } from 'node:child_process'
import { createRequire } from 'node:module'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { REASONS } from '@hazellift/protocol'
import { ADMIN_TOKEN, callerToken, operatorToken, startProgram } from '@hazellift/standins'
import { Agent, request } from 'undici'
import { expect, test } from 'vitest'
import { useCluster } from './support.js'

const cluster = useCluster({ entries: 2, workers: 1 })
const resolve = createRequire(import.meta.url).resolve
const mainOf = (name: string): string => join(dirname(resolve(`@hazellift/${name}`)), 'main.js')
const folder = mkdtempSync(join(tmpdir(), 'hazellift-commands-'))

const fileOf = (name: string, text: string): string => {
  const path = join(folder, name)
  writeFileSync(path, text)
  return path
}

const run = (program: 'entry' | 'agent', args: string[], token = '') => {
  const env = { ...process.env, HAZELLIFT_URL: cluster().apiUrl(), HAZELLIFT_TOKEN: token, HAZELLIFT_WORKSPACE: 'florist' }
  return spawnSync(process.execPath, [mainOf(program), ...args], { env, encoding: 'utf8', timeout: 20_000 })
}

test.each([
  { name: 'no settings at all', program: 'entry' as const, args: ['entry'], status: 2, says: ['--entry-id', '--zone', '--platform-url', '--cluster-token', '--admin-token'] },
  { name: 'several bad settings at once', program: 'entry' as const, args: ['entry', '--api-port', 'high', '--lease-ms', '1', '--entry-id', 'e'], status: 2, says: ['--api-port', 'is not a number', '--lease-ms', 'is below 100'] },
  { name: 'settings that do not fit together', program: 'entry' as const, args: ['entry', '--entry-id', 'e', '--zone', 'z', '--platform-url', 'http://x', '--cluster-token', 'c', '--admin-token', 'a', '--heartbeat-ms', '9000', '--dispatch-rule', 'luck'], status: 2, says: ['--stale-after-ms', '--dispatch-rule'] },
  { name: 'an agent without seeds', program: 'agent' as const, args: ['--agent-id', 'a', '--zone', 'z', '--cluster-token', 'c', '--seeds', ' , '], status: 2, says: ['--seeds'] },
  { name: 'an unknown flag', program: 'agent' as const, args: ['--colour', 'red'], status: 2, says: ['--colour'] },
  { name: 'an unknown command', program: 'entry' as const, args: ['dance'], status: 2, says: ['dance'] },
  { name: 'a submission without a service', program: 'entry' as const, args: ['submit'], status: 2, says: ['--service'] },
  { name: 'a wrong label', program: 'entry' as const, args: ['submit', '-s', 'order-desk', '--label', 'x'], status: 2, says: ['name=value'] },
  { name: 'an entry that cannot be reached', program: 'entry' as const, args: ['submit', '-s', 'order-desk', '-t', 'x', '--url', 'http://127.0.0.1:1'], status: 3, says: ['cannot reach'] },
  { name: 'a wrong token', program: 'entry' as const, args: ['submit', '-s', 'order-desk', '-t', 'x'], status: 1, says: ['unauthorized', 'not run'] },
  { name: 'a zone without a name', program: 'entry' as const, args: ['zones', 'evacuate'], status: 2, says: ['zone'] },
  { name: 'a policy file that is not there', program: 'entry' as const, args: ['policy', 'check', '-f', join(folder, 'absent')], status: 2, says: ['absent'] },
  { name: 'a policy file that is not YAML', program: 'entry' as const, args: ['policy', 'check', '-f', fileOf('bad.yaml', 'admit: [')], status: 2, says: ['bad.yaml'] },
  { name: 'a policy with an unknown field', program: 'entry' as const, args: ['policy', 'check', '-f', fileOf('field.yaml', 'admitted: "true"')], status: 2, says: ['admitted'] },
  { name: 'a policy that does not compile', program: 'entry' as const, args: ['policy', 'check', '-f', fileOf('type.yaml', 'admit: job.tasks')], status: 1, says: ['admit:1:1', 'must be bool'] }
])('$name: exit code $status and a clear error', ({ program, args, status, says }) => {
  const res = run(program, args)
  expect(res.status).toBe(status)
  for (const text of says) expect(res.stderr).toContain(text)
})

test('an agent with a wrong cluster token gets no session', async () => {
  const { session } = cluster().entries[0]!.startupInfo as { session: string }
  const agent = await startProgram({
    name: 'stranger',
    script: mainOf('agent'),
    args: ['--agent-id', 'stranger', '--zone', 'z', '--agent-port', '0', '--seeds', session, '--cluster-token', 'wrong']
  })
  try {
    await cluster().waitUntil('the refusal', () => agent.logLines().some((line) => line.includes('wrong cluster token')))
    expect(agent.logLines().some((line) => line.includes('session_open'))).toBe(false)
    expect(run('entry', ['status'], ADMIN_TOKEN).stdout).not.toContain('stranger')
  } finally {
    agent.kill('SIGKILL')
    await agent.exited
  }
})

test('--print-settings masks secrets', () => {
  const res = run('agent', ['--agent-id', 'a', '--zone', 'z', '--cluster-token', 'sesame', '--seeds', 'h:1', '--print-settings'])
  expect(res.status).toBe(0)
  expect(res.stdout).toContain('HAZELLIFT_SEEDS=h:1')
  expect(res.stdout).toContain('HAZELLIFT_CLUSTER_TOKEN=***')
  expect(res.stdout).not.toContain('sesame')
})

test('policy check runs a policy against a sample job without a server', () => {
  const policy = fileOf('good.yaml', 'admit: job.tasks < 10\npriority: \'job.labels["kind"] == "quote" ? 5 : 0\'\n')
  const job = fileOf('job.yaml', 'id: a\nservice: order-desk\ntasks: [{ payload: x }]\nlabels: { kind: quote }\n')
  const res = run('entry', ['policy', 'check', '-f', policy, '--job', job])
  expect(JSON.parse(res.stdout)).toMatchObject({ admit: true, priority: 5 })
})

test('an operator puts, shows and lists a policy; a rival is told both versions', () => {
  const token = operatorToken('florist')
  const policy = fileOf('put.yaml', 'admit: job.tasks < 10')
  expect(run('entry', ['policy', 'put', '-f', policy, '--wait'], token)).toMatchObject({ status: 0, stdout: expect.stringContaining('in force at entry-0, entry-1') })
  expect(run('entry', ['policy', 'get'], token).stdout).toContain('job.tasks < 10')
  expect(run('entry', ['policy', 'history'], token).stdout).toContain('policy')
  const rival = run('entry', ['policy', 'put', '-f', policy, '--seen-version', '1'], token)
  expect(rival.status).toBe(1)
  expect(rival.stderr).toMatch(/version_conflict.*made from version 1, but version 2 is in force/)
})

test('the administrator lists workspaces and sees the status', () => {
  expect(run('entry', ['workspace', 'list'], ADMIN_TOKEN).stdout).toContain('florist')
  expect(run('entry', ['workspace', 'get'], ADMIN_TOKEN).stdout).not.toContain('sha256": "4')
  expect(run('entry', ['status'], ADMIN_TOKEN).stdout).toContain('agent-0')
  expect(JSON.parse(run('entry', ['status', '--json'], ADMIN_TOKEN).stdout).entries).toHaveLength(2)
})

test('job get prints the answer, and a failed job ends with 1', () => {
  const token = callerToken('florist')
  expect(run('entry', ['submit', '-s', 'order-desk', '--id', 'cli', '-t', '{"value":"v"}'], token)).toMatchObject({ status: 0, stdout: expect.stringContaining('"value":"v"') })
  expect(run('entry', ['job', 'get', 'cli'], token).stdout).toContain('"value":"v"')
  expect(run('entry', ['job', 'cancel', 'cli'], token)).toMatchObject({ status: 0 })
  expect(run('entry', ['submit', '-s', 'order-desk', '-t', '{"fail":true}'], token)).toMatchObject({ status: 1, stderr: expect.stringContaining('task_failed') })
})

test('the pages name every reason of a refusal or failure, and every metric', async () => {
  const api = readFileSync(new URL('../docs/API.md', import.meta.url), 'utf8')
  const operators = readFileSync(new URL('../docs/OPERATORS.md', import.meta.url), 'utf8')
  for (const reason of Object.values(REASONS)) expect(api).toContain(`\`${reason}\``)
  // The commands above block this process; a connection kept from before them may have been closed meanwhile.
  const res = await request(`${cluster().apiUrl()}/metrics`, { dispatcher: new Agent() })
  const metrics = await res.body.text()
  for (const [, name] of metrics.matchAll(/^# TYPE (hazellift_\S+)/gm)) expect(operators).toContain(`\`${name}\``)
})
