import { toJsonString } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { EXIT_CODES } from '@hazellift/common'
import Table from 'cli-table3'
import type { ApiFault } from './apiClient.js'

/** Prints a line to standard output. */
export const print = (text: string): void => { process.stdout.write(`${text}\n`) }

/** Prints a line to standard error and sets the exit code. */
export const printFailure = (text: string, exitCode: number): void => {
  process.stderr.write(`${text}\n`)
  process.exitCode = exitCode
}

/** Prints a message as indented JSON; fields with default values are written out. */
export const printJson = <Desc extends DescMessage>(schema: Desc, message: MessageShape<Desc>): void =>
  print(toJsonString(schema, message, { prettySpaces: 2, alwaysEmitImplicit: true }))

/** Prints rows as a table with a header. */
export const printTable = (head: string[], rows: (string | number | bigint)[][]): void => {
  const table = new Table({ head, style: { head: [], border: [] } })
  table.push(...rows.map((row) => row.map(String)))
  print(table.toString())
}

/** Prints why an API call failed to standard error and sets the exit code. */
export const printFault = (fault: ApiFault): void => {
  if (fault.type === 'unreachable') return printFailure(`cannot reach the entry: ${fault.message}`, EXIT_CODES.unreachable)
  const { reason, message, run, retryAfterMs, faults } = fault.body
  const retry = retryAfterMs > 0 ? `, come back in ${retryAfterMs} ms` : ''
  printFailure(`${reason} (${run}${retry}): ${message}`, EXIT_CODES.failed)
  for (const { field, line, column, message: detail } of faults) process.stderr.write(`  ${field}:${line}:${column}: ${detail}\n`)
}
