import { Command, Option } from 'commander'
import { createApiClient } from './apiClient.js'
import type { ApiClient } from './apiClient.js'

/** Options that every client command takes. */
export interface GlobalOptions {
  url: string
  token: string
  json: boolean
}

/** A client command with the options that all of them share. */
export const clientCommand = (name: string, description: string): Command => new Command(name)
  .description(description)
  .addOption(new Option('--url <url>', 'an entry or the balancer before them').env('HAZELLIFT_URL').default('http://127.0.0.1:8080'))
  .addOption(new Option('--token <token>', 'token of a caller, an operator or the administrator').env('HAZELLIFT_TOKEN').default(''))
  .option('--json', 'print JSON', false)

/** The option for the workspace, which most commands need. */
export const workspaceOption = (): Option =>
  new Option('-w, --workspace <name>', 'the workspace').env('HAZELLIFT_WORKSPACE').makeOptionMandatory()

/** The API as the command's options say. */
export const createClient = ({ url, token }: GlobalOptions): ApiClient => createApiClient({ url, token })
