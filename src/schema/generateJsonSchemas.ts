import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { TSchema } from '@sinclair/typebox';
import { benchReportSchema } from './benchReport.js';
import { serviceConfigurationSchema } from './serviceConfiguration.js';
import { settingsSchema } from './settings.js';

const publishedSchemas: Record<string, TSchema> = {
  settings: settingsSchema,
  serviceConfiguration: serviceConfigurationSchema,
  benchReport: benchReportSchema,
};

/** Writes the JSON Schema files that editors use for completion and validation. */
function writeJsonSchemas(folder: string): void {
  mkdirSync(folder, { recursive: true });
  for (const [name, schema] of Object.entries(publishedSchemas)) {
    const body = { $schema: 'http://json-schema.org/draft-07/schema#', ...schema };
    writeFileSync(join(folder, `${name}.schema.json`), `${JSON.stringify(body, null, 2)}\n`);
  }
}

writeJsonSchemas(process.argv[2] ?? 'schemas');
