/** Prefixes and keys of the configuration's rows. */
export const CONFIG_ROWS = {
  head: 'config/head',
  workspacePrefix: 'config/workspace/',
  policyPrefix: 'config/policy/',
  historyPrefix: 'config/history/'
} as const

/** What a change is about. */
export const CONFIG_KINDS = { workspace: 'workspace', policy: 'policy' } as const
export type ConfigKind = typeof CONFIG_KINDS[keyof typeof CONFIG_KINDS]

const VERSION_DIGITS = 20

/** Key of a change; keys sort as versions do. */
export const historyKey = (version: bigint): string =>
  CONFIG_ROWS.historyPrefix + version.toString().padStart(VERSION_DIGITS, '0')

/** Key of a workspace's or policy's row. */
export const configKey = (kind: ConfigKind, name: string): string =>
  (kind === CONFIG_KINDS.workspace ? CONFIG_ROWS.workspacePrefix : CONFIG_ROWS.policyPrefix) + name
