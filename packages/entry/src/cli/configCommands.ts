import { create } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { EXIT_CODES, errorMessage } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { compilePolicy } from '@hazellift/coordination'
import {
  ChangeListSchema, ConfigAcceptedSchema, JobSpecSchema, PolicyRecordSchema, PolicySpecSchema, WorkspaceListSchema,
  WorkspaceSpecSchema, WorkspaceViewSchema
} from '@hazellift/protocol'
import type { ConfigAccepted, JobSpec, PolicySpec } from '@hazellift/protocol'
import { Command } from 'commander'
import { ulid } from 'ulid'
import type { ApiClient, ApiFault } from './apiClient.js'
import { encodeBody } from './apiClient.js'
import { clientCommand, createClient, workspaceOption } from './globalOptions.js'
import type { GlobalOptions } from './globalOptions.js'
import { print, printFailure, printFault, printJson, printTable } from './output.js'
import { readDocument } from './readDocument.js'

/** Options of every command that changes the configuration. */
export interface ChangeOptions extends GlobalOptions {
  seenVersion?: string
  wait: boolean
}

interface PutOptions extends ChangeOptions {
  workspace: string
  file: string
}

interface WorkspaceOptions extends GlobalOptions {
  workspace: string
}

const CHANGE_WAIT_MS = 14_000

const printAccepted = ({ version, inForce, pending }: ConfigAccepted, options: ChangeOptions): void => {
  print(`version ${version} accepted, in force at ${inForce.join(', ') || 'no entry yet'}`)
  if (options.wait && pending.length > 0) printFailure(`not confirmed by ${pending.join(', ')}`, EXIT_CODES.failed)
}

/** Sends a change, made from the version given or else from the one in force now. */
export const putConfig = async <Desc extends DescMessage>(
  options: ChangeOptions, path: string, schema: Desc, spec: MessageShape<Desc> & { seenVersion: bigint, operationId: string },
  currentVersion: (client: ApiClient) => Promise<bigint>
): Promise<void> => {
  const client = createClient(options)
  spec.seenVersion = options.seenVersion === undefined ? await currentVersion(client) : BigInt(options.seenVersion)
  spec.operationId ||= ulid()
  const waitMs = options.wait ? CHANGE_WAIT_MS : 0
  const res = await client.call(ConfigAcceptedSchema, {
    method: 'PUT', path: `${path}?waitMs=${waitMs}`, body: encodeBody(schema, spec), timeoutMs: waitMs + CHANGE_WAIT_MS
  })
  if (!res.ok) return printFault(res.err)
  if (options.json) return printJson(ConfigAcceptedSchema, res.value)
  printAccepted(res.value, options)
}

const putPolicy = async (options: PutOptions): Promise<void> => {
  const spec = readDocument(PolicySpecSchema, options.file)
  if (!spec.ok) return printFailure(spec.err, EXIT_CODES.usage)
  const path = `/v1/workspaces/${options.workspace}/policy`
  await putConfig(options, path, PolicySpecSchema, spec.value, async (client) => {
    const res = await client.call(PolicyRecordSchema, { method: 'GET', path })
    return res.ok ? res.value.version : 0n
  })
}

const putWorkspace = async (options: PutOptions): Promise<void> => {
  const spec = readDocument(WorkspaceSpecSchema, options.file)
  if (!spec.ok) return printFailure(spec.err, EXIT_CODES.usage)
  const path = `/v1/workspaces/${options.workspace}`
  await putConfig(options, path, WorkspaceSpecSchema, spec.value, async (client) => {
    const res = await client.call(WorkspaceViewSchema, { method: 'GET', path })
    return res.ok ? res.value.version : 0n
  })
}

const printResponse = <Desc extends DescMessage>(schema: Desc, res: Result<MessageShape<Desc>, ApiFault>): void => {
  if (res.ok) printJson(schema, res.value)
  else printFault(res.err)
}

const listWorkspaces = async (options: GlobalOptions): Promise<void> => {
  const res = await createClient(options).call(WorkspaceListSchema, { method: 'GET', path: '/v1/workspaces' })
  if (!res.ok || options.json) return printResponse(WorkspaceListSchema, res)
  printTable(['workspace', 'version', 'weight', 'running', 'queued', 'tasks/s'], res.value.workspaces.map(
    ({ name, version, weight, maxRunning, maxQueued, maxRate }) => [name, version, weight || 1, maxRunning, maxQueued, maxRate]))
}

const showHistory = async (options: WorkspaceOptions): Promise<void> => {
  const path = `/v1/workspaces/${options.workspace}/history`
  const res = await createClient(options).call(ChangeListSchema, { method: 'GET', path })
  if (!res.ok || options.json) return printResponse(ChangeListSchema, res)
  printTable(['version', 'when', 'kind', 'operation'], res.value.changes.map(
    ({ version, atMs, kind, operationId }) => [version, new Date(atMs).toISOString(), kind, operationId]))
}

const readSampleJob = (file: string | undefined): Result<JobSpec, string> => {
  if (file !== undefined) return readDocument(JobSpecSchema, file)
  return { ok: true, value: create(JobSpecSchema, { id: 'sample', service: 'sample', tasks: [{ payload: '' }] }) }
}

const evaluatePolicy = (spec: PolicySpec, job: JobSpec): void => {
  const compiled = compilePolicy(spec)
  if (!compiled.ok) {
    for (const { field, line, column, message } of compiled.err) printFailure(`${field}:${line}:${column}: ${message}`, EXIT_CODES.failed)
    return
  }
  const { id, service, tasks, unrepeatable, deadlineMs, labels } = job
  const payloadBytes = tasks.reduce((sum, { payload }) => sum + payload.length, 0)
  try {
    const facts = { id, service, tasks: tasks.length, payloadBytes, unrepeatable, deadlineMs, labels }
    print(JSON.stringify(compiled.value.evaluate(facts, { running: 0, queued: 0 }), null, 2))
  } catch (err) {
    printFailure(errorMessage(err), EXIT_CODES.failed)
  }
}

const checkPolicy = ({ file, job }: { file: string, job?: string }): void => {
  const spec = readDocument(PolicySpecSchema, file)
  if (!spec.ok) return printFailure(spec.err, EXIT_CODES.usage)
  const sample = readSampleJob(job)
  if (!sample.ok) return printFailure(sample.err, EXIT_CODES.usage)
  evaluatePolicy(spec.value, sample.value)
}

/** A command that changes the configuration. */
export const changeCommand = (name: string, description: string): Command => clientCommand(name, description)
  .option('--seen-version <version>', 'version that the change was made from (default: the one in force now)')
  .option('--wait', 'return when every live entry has it in force', false)

const putCommand = (description: string): Command => changeCommand('put', description)
  .addOption(workspaceOption())
  .requiredOption('-f, --file <file>', 'YAML or JSON file, - for standard input')

/** `hazellift policy`. */
export const policyCommand = (): Command => {
  const policy = new Command('policy').description('shows, checks and changes a workspace\'s policy')
  policy.addCommand(putCommand('puts a policy in force').action(putPolicy))
  policy.addCommand(clientCommand('get', 'prints the policy in force').addOption(workspaceOption()).action(async (options: WorkspaceOptions) =>
    printResponse(PolicyRecordSchema, await createClient(options).call(PolicyRecordSchema, { method: 'GET', path: `/v1/workspaces/${options.workspace}/policy` }))))
  policy.addCommand(clientCommand('history', 'lists accepted changes').addOption(workspaceOption()).action(showHistory))
  policy.addCommand(new Command('check').description('runs a policy against a sample job, without a server')
    .requiredOption('-f, --file <file>', 'YAML or JSON file of the policy')
    .option('--job <file>', 'YAML or JSON file of a job')
    .action(checkPolicy))
  return policy
}

/** `hazellift workspace`. */
export const workspaceCommand = (): Command => {
  const workspace = new Command('workspace').description('shows and changes workspaces')
  workspace.addCommand(putCommand('creates or changes a workspace (administrator)').action(putWorkspace))
  workspace.addCommand(clientCommand('get', 'prints a workspace').addOption(workspaceOption()).action(async (options: WorkspaceOptions) =>
    printResponse(WorkspaceViewSchema, await createClient(options).call(WorkspaceViewSchema, { method: 'GET', path: `/v1/workspaces/${options.workspace}` }))))
  workspace.addCommand(clientCommand('list', 'lists all workspaces (administrator)').action(listWorkspaces))
  workspace.addCommand(clientCommand('history', 'lists accepted changes').addOption(workspaceOption()).action(showHistory))
  return workspace
}
