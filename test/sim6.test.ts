import { SimSuite } from "./simSuite";

SimSuite.part(6, 7);
