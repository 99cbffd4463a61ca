import { spawnSync } from 'node:child_process'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { Cluster, callerToken } from './cluster/cluster.js'

const WORKSPACE = 'florist'
const JOB_ID = 'garlands-for-the-muhurat'
const TASKS = ['Rajkot', 'Surat', 'Bhuj', 'Vadodara', 'Anand', 'Patan'].map((stall) => JSON.stringify({ ms: 120, value: `quote for ${stall}` }))

const cli = join(dirname(createRequire(import.meta.url).resolve('@hazellift/entry')), 'main.js')
const print = (text: string): void => { process.stdout.write(`${text}\n`) }

/** Runs the command line as a user would; gives what it printed. */
const hazellift = (url: string, args: string[]): string => {
  print(`\n$ hazellift ${args.join(' ')}    (entry ${url})`)
  const env = { ...process.env, HAZELLIFT_URL: url, HAZELLIFT_WORKSPACE: WORKSPACE, HAZELLIFT_TOKEN: callerToken(WORKSPACE) }
  const { status, stdout, stderr } = spawnSync(process.execPath, [cli, ...args], { env, encoding: 'utf8' })
  process.stdout.write(stdout + stderr)
  if (status !== 0) throw new Error(`the command ended with ${status}`)
  return stdout
}

const check = (statement: string, isTrue: boolean): void => {
  print(`${isTrue ? 'ok  ' : 'FAIL'} ${statement}`)
  if (!isTrue) process.exitCode = 1
}

const demonstrate = (cluster: Cluster): void => {
  const args = ['submit', '--service', 'order-desk', '--id', JOB_ID, ...TASKS.flatMap((task) => ['--task', task])]
  const first = hazellift(cluster.apiUrl(0), args)
  const again = hazellift(cluster.apiUrl(1), args)
  print('')
  check('the answer has a result for every task', first.trim().split('\n').length === TASKS.length)
  check('the resubmission at the other entry got the same answer', again === first)
  check(`the endpoints started ${TASKS.length} tasks`, cluster.startedKeys().length === TASKS.length)
  check('no endpoint saw a task twice', cluster.startedTwice().length === 0)
}

print('Starting the stand-in platform, two entries, and three agents each beside a stand-in endpoint ...')
const cluster = await Cluster.start({ entries: 2, workers: 3, workspaces: [{ name: WORKSPACE }] })
try {
  demonstrate(cluster)
} finally {
  await cluster.stop()
}
