import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { create, fromJsonString } from '@bufbuild/protobuf'
import { EXIT_CODES } from '@hazellift/common'
import { JOB_STATES, JobAnswerSchema, JobSpecSchema, RUN_STATES } from '@hazellift/protocol'
import type { JobAnswer, JobSpec } from '@hazellift/protocol'
import { Command, InvalidArgumentError } from 'commander'
import { ulid } from 'ulid'
import type { ApiResponse, ApiClient, ApiFault } from './apiClient.js'
import { encodeBody } from './apiClient.js'
import type { Result } from '@hazellift/common'
import { clientCommand, createClient, workspaceOption } from './globalOptions.js'
import type { GlobalOptions } from './globalOptions.js'
import { print, printFault, printFailure, printJson } from './output.js'

interface JobOptions extends GlobalOptions {
  workspace: string
}

interface SubmitOptions extends JobOptions {
  service: string
  id?: string
  task: string[]
  tasksFile?: string
  unrepeatable: boolean
  deadlineMs: number
  label: Record<string, string>
  waitMs: number
  resubmit: number
}

/** One wait on the API; longer ones are made of several. */
const WAIT_CHUNK_MS = 30_000
const WAIT_MARGIN_MS = 5000
const DEFAULT_WAIT_MS = 600_000
const DEFAULT_RETRY_MS = 1000

const parseNumber = (text: string): number => {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError('must be a whole number')
  return Number(text)
}

const appendValue = (text: string, before: string[]): string[] => [...before, text]

const appendLabel = (text: string, before: Record<string, string>): Record<string, string> => {
  const index = text.indexOf('=')
  if (index < 1) throw new InvalidArgumentError('must be name=value')
  return { ...before, [text.slice(0, index)]: text.slice(index + 1) }
}

const readTasks = (file: string): string[] =>
  readFileSync(file === '-' ? 0 : file, 'utf8').split('\n').filter((line) => line !== '')

const jobPath = (workspace: string, id: string): string => `/v1/workspaces/${workspace}/jobs/${id}`

const printAnswer = (answer: JobAnswer, json: boolean): void => {
  if (json) printJson(JobAnswerSchema, answer)
  else if (answer.state === JOB_STATES.complete) answer.results.forEach((result, task) => print(`${task}\t${result}`))
  if (answer.state === JOB_STATES.complete) return
  printFailure(`job ${answer.id} failed: ${answer.reason} (${answer.run}): ${answer.message}`, EXIT_CODES.failed)
}

/** Waits for a job's answer over as many calls as it takes. */
const waitForAnswer = async (client: ApiClient, path: string, first: ApiResponse, waitMs: number): Promise<Result<ApiResponse, ApiFault>> => {
  const until = Date.now() + waitMs
  let answer = first
  while (answer.status === 202 && Date.now() < until) {
    const chunkMs = Math.min(WAIT_CHUNK_MS, until - Date.now())
    const res = await client.send({ method: 'GET', path: `${path}?waitMs=${chunkMs}`, timeoutMs: chunkMs + WAIT_MARGIN_MS })
    if (!res.ok) return res
    answer = res.value
  }
  return { ok: true, value: answer }
}

const printJobResponse = (res: Result<ApiResponse, ApiFault>, json: boolean): void => {
  if (!res.ok) return printFault(res.err)
  if (res.value.status === 202) return print(json ? res.value.text.trim() : 'running')
  printAnswer(fromJsonString(JobAnswerSchema, res.value.text), json)
}

const createSpec = (options: SubmitOptions): JobSpec => {
  const payloads = options.tasksFile === undefined ? options.task : readTasks(options.tasksFile)
  return create(JobSpecSchema, {
    id: options.id ?? ulid(),
    service: options.service,
    tasks: payloads.map((payload) => ({ payload })),
    unrepeatable: options.unrepeatable,
    deadlineMs: options.deadlineMs,
    labels: options.label,
    firstAttempt: options.id === undefined
  })
}

/** True where the same submission may be sent again with a hope of success. */
const mayResubmit = (fault: ApiFault): boolean =>
  fault.type === 'unreachable' || (fault.status >= 500 && fault.body.retryAfterMs > 0)

const hasNotRun = (fault: ApiFault): boolean => fault.type === 'error' && fault.body.run === RUN_STATES.notRun

const submit = async (options: SubmitOptions): Promise<void> => {
  const client = createClient(options)
  const spec = createSpec(options)
  const path = `/v1/workspaces/${options.workspace}/jobs`
  const waitMs = Math.min(options.waitMs, WAIT_CHUNK_MS)
  const send = () => client.send({
    method: 'POST', path: `${path}?waitMs=${waitMs}`, body: encodeBody(JobSpecSchema, spec), timeoutMs: waitMs + WAIT_MARGIN_MS
  })
  let res = await send()
  for (let attempt = 0; attempt < options.resubmit && !res.ok && mayResubmit(res.err); attempt++) {
    await sleep(res.err.type === 'error' ? res.err.body.retryAfterMs : DEFAULT_RETRY_MS)
    spec.firstAttempt &&= hasNotRun(res.err)
    res = await send()
  }
  if (!res.ok) return printFault(res.err)
  if (!options.json && res.value.status === 202) process.stderr.write(`job ${spec.id} runs\n`)
  printJobResponse(await waitForAnswer(client, jobPath(options.workspace, spec.id), res.value, options.waitMs), options.json)
}

const getJob = async (id: string, options: JobOptions & { waitMs: number }): Promise<void> => {
  const client = createClient(options)
  const path = jobPath(options.workspace, id)
  const first = await client.send({ method: 'GET', path })
  if (!first.ok) return printFault(first.err)
  printJobResponse(await waitForAnswer(client, path, first.value, options.waitMs), options.json)
}

const cancelJob = async (id: string, options: JobOptions): Promise<void> => {
  printJobResponse(await createClient(options).send({ method: 'DELETE', path: jobPath(options.workspace, id) }), options.json)
}

/** `hazellift submit`. */
export const submitCommand = (): Command => clientCommand('submit', 'submits a job and prints its answer, one line a task')
  .addOption(workspaceOption())
  .requiredOption('-s, --service <name>', 'the service whose endpoints run the tasks')
  .option('--id <id>', 'submission id; the same id never runs twice (default: a new one)')
  .option('-t, --task <payload>', 'payload of a task; may be given several times', appendValue, [])
  .option('--tasks-file <file>', 'file with one payload a line, - for standard input')
  .option('--unrepeatable', 'runs at most once, and the answer is kept before it is given', false)
  .option('--deadline-ms <ms>', 'time until the answer', parseNumber, 0)
  .option('--label <name=value>', 'label for the policy; may be given several times', appendLabel, {})
  .option('--wait-ms <ms>', 'how long to wait for the answer', parseNumber, DEFAULT_WAIT_MS)
  .option('--resubmit <times>', 'how often to submit again after a refusal that may pass', parseNumber, 0)
  .action(submit)

/** `hazellift job`. */
export const jobCommand = (): Command => {
  const job = new Command('job').description('asks for or cancels a job')
  job.addCommand(clientCommand('get', 'prints a job\'s answer or state').argument('<id>').addOption(workspaceOption())
    .option('--wait-ms <ms>', 'how long to wait for the answer', parseNumber, 0).action(getJob))
  job.addCommand(clientCommand('cancel', 'cancels a job').argument('<id>').addOption(workspaceOption()).action(cancelJob))
  return job
}
