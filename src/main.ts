#!/usr/bin/env node
import { Cli } from "./cli/cli";

Cli.run(process.argv);
