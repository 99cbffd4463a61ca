import { create, ScalarType } from '@bufbuild/protobuf'
import type { DescField, DescMessage, MessageShape } from '@bufbuild/protobuf'
import { Command, Option } from 'commander'
import { fail, ok } from './types.js'
import type { Result } from './types.js'
import { envName, flagName } from './settingFlags.js'

/** What the schema says of one setting. */
export interface SettingInfo {
  defaultValue: string
  unit: string
  help: string
  min?: number
  max?: number
  required: boolean
  secret: boolean
}

/** Reads a field's description from the schema. */
export type DescribeSetting = (field: DescField) => SettingInfo

/** One setting that is missing or out of bounds. */
export interface SettingFault {
  setting: string
  message: string
}

type SettingValue = string | number | boolean | string[]

const INTEGER = /^-?\d+$/

const isList = (field: DescField): boolean => field.fieldKind === 'list'
const isNumber = (field: DescField): boolean =>
  field.fieldKind === 'scalar' && (field.scalar === ScalarType.INT32 || field.scalar === ScalarType.DOUBLE)

const parseNumber = (field: DescField, info: SettingInfo, text: string): Result<number, string> => {
  const value = Number(text)
  if (text.trim() === '' || !Number.isFinite(value)) return fail(`'${text}' is not a number`)
  const isInteger = field.fieldKind === 'scalar' && field.scalar === ScalarType.INT32
  if (isInteger && !INTEGER.test(text.trim())) return fail(`'${text}' is not a whole number`)
  if (info.min !== undefined && value < info.min) return fail(`${value} is below ${info.min}`)
  if (info.max !== undefined && value > info.max) return fail(`${value} is above ${info.max}`)
  return ok(value)
}

const parseList = (info: SettingInfo, text: string): Result<string[], string> => {
  const items = text.split(',').map((item) => item.trim()).filter((item) => item !== '')
  return info.required && items.length === 0 ? fail('is required') : ok(items)
}

const parseSetting = (field: DescField, info: SettingInfo, text: string): Result<SettingValue, string> => {
  if (isList(field)) return parseList(info, text)
  if (isNumber(field)) return parseNumber(field, info, text)
  return info.required && text === '' ? fail('is required') : ok(text)
}

/**
 * Adds a flag and an environment variable for every field of a settings message.
 *
 * @param command - the command that takes the settings
 * @param schema - the settings message
 * @param describe - reads the schema's options
 */
export const addSettingOptions = (command: Command, schema: DescMessage, describe: DescribeSetting): Command => {
  for (const field of schema.fields) {
    const info = describe(field)
    const unit = info.unit === '' ? '' : ` [${info.unit}]`
    const option = new Option(`${flagName(field)} <value>`, info.help + unit).env(envName(field))
    if (info.defaultValue !== '') option.default(info.defaultValue)
    command.addOption(option)
  }
  return command
}

/**
 * Checks the values of flags and environment; all faults are named at once.
 *
 * @param schema - the settings message
 * @param describe - reads the schema's options
 * @param values - commander's option values, by camelCase name
 */
export const loadSettings = <Desc extends DescMessage>(
  schema: Desc,
  describe: DescribeSetting,
  values: Record<string, string | undefined>
): Result<MessageShape<Desc>, SettingFault[]> => {
  const faults: SettingFault[] = []
  const settings = create(schema) as MessageShape<Desc> & Record<string, SettingValue>
  for (const field of schema.fields) {
    const info = describe(field)
    const parsed = parseSetting(field, info, values[field.localName] ?? info.defaultValue)
    if (!parsed.ok) faults.push({ setting: `${flagName(field)} (${envName(field)})`, message: parsed.err })
    else Object.assign(settings, { [field.localName]: parsed.value })
  }
  return faults.length > 0 ? fail(faults) : ok(settings)
}

/**
 * One line a setting; secrets are masked.
 *
 * @param schema - the settings message
 * @param describe - reads the schema's options
 * @param settings - checked settings
 */
export const printSettings = (schema: DescMessage, describe: DescribeSetting, settings: object): string =>
  schema.fields.map((field) => {
    const value = (settings as Record<string, SettingValue>)[field.localName]
    const shown = describe(field).secret ? '***' : String(value)
    return `${envName(field)}=${shown}`
  }).join('\n')
