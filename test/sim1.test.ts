import { SimSuite } from "./simSuite";

SimSuite.part(1, 7);
